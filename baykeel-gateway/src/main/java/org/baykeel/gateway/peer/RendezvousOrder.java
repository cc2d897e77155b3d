package org.baykeel.gateway.peer;

import java.util.Collection;
import java.util.function.Supplier;
import org.baykeel.gateway.scheduling.StableHash;

/**
 * Ranks the nodes for a key by rendezvous hashing. All nodes that know the same peers compute the
 * same ranks; nodes that know different peers may compute the same rank for themselves.
 */
public final class RendezvousOrder {
  private final PeerAddress self;
  private final Supplier<Collection<PeerAddress>> peers;

  /**
   * Creates an order.
   *
   * @param self the address of this node
   * @param peers supplies the known peers
   */
  public RendezvousOrder(PeerAddress self, Supplier<Collection<PeerAddress>> peers) {
    this.self = self;
    this.peers = peers;
  }

  /** Returns the number of known peers that rank before this node. */
  public int rankOfSelf(String key) {
    int ownWeight = weight(self, key);
    int rank = 0;
    for (PeerAddress peer : peers.get()) {
      if (weight(peer, key) > ownWeight) {
        rank++;
      }
    }
    return rank;
  }

  /** Returns whether a peer, known or not, ranks before this node. */
  public boolean outranksSelf(PeerAddress peer, String key) {
    return weight(peer, key) > weight(self, key);
  }

  private static int weight(PeerAddress node, String key) {
    return StableHash.of(node.toString(), key);
  }
}
