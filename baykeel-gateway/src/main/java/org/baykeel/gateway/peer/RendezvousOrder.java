package org.baykeel.gateway.peer;

import java.util.Collection;
import java.util.function.Supplier;
import org.baykeel.gateway.scheduling.StableHash;

/**
 * The order in which nodes come in turn for a key, by rendezvous hashing. It is the same at all
 * nodes that know the same others; nodes that know different ones may claim the same place.
 */
public final class RendezvousOrder {
  private final PeerAddress self;
  private final Supplier<Collection<PeerAddress>> peers;

  /**
   * Creates an order.
   *
   * @param self this node
   * @param peers the other nodes known now
   */
  public RendezvousOrder(PeerAddress self, Supplier<Collection<PeerAddress>> peers) {
    this.self = self;
    this.peers = peers;
  }

  /** How many of the nodes known now come before this one. */
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

  /** Whether a node, known or not, comes before this one. */
  public boolean outranksSelf(PeerAddress peer, String key) {
    return weight(peer, key) > weight(self, key);
  }

  private static int weight(PeerAddress node, String key) {
    return StableHash.of(node.toString(), key);
  }
}
