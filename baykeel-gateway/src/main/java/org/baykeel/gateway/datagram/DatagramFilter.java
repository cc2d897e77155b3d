package org.baykeel.gateway.datagram;

import org.baykeel.gateway.peer.PeerAddress;

/** Decides which datagrams between this node and its peers are lost. Safe for use by threads. */
public interface DatagramFilter {
  /** Passes all datagrams. */
  DatagramFilter ALL =
      new DatagramFilter() {
        @Override
        public boolean passesTo(PeerAddress receiver) {
          return true;
        }

        @Override
        public boolean passesFrom(PeerAddress sender) {
          return true;
        }
      };

  /** Returns whether a datagram to a peer is sent. */
  boolean passesTo(PeerAddress receiver);

  /** Returns whether a datagram of a peer is received. */
  boolean passesFrom(PeerAddress sender);
}
