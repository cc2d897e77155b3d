package org.baykeel.gateway.quarantine;

import org.baykeel.gateway.peer.PeerAddress;

/**
 * What other nodes know, if their notices may not arrive: it is read from the store before a
 * request is sent.
 */
interface SharedEvidence {

  /** A wait for the store. */
  interface Wait {
    /** Nothing is awaited. */
    Wait NONE =
        new Wait() {
          @Override
          public boolean over() {
            return true;
          }

          @Override
          public boolean failed() {
            return false;
          }
        };

    /** Returns whether nothing is awaited any more. */
    boolean over();

    /** Returns whether the store did not respond in time, and nothing else shows what it has. */
    boolean failed();
  }

  /** Returns whether a peer is known not to be reached. */
  boolean isUnreachable(PeerAddress peer);

  /** Awaits the evidence of all nodes as of now, if this node may have missed some. */
  Wait awaitEvidence();

  /** Returns whether this node may miss notices, but is expected to read them soon. */
  boolean expectsNotices();

  /** Shows a claim to the nodes that do not receive its notice, and awaits theirs. */
  Wait confirmClaim();
}
