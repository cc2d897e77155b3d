package org.baykeel.gateway.ratelimit;

import java.util.Collection;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;
import org.baykeel.gateway.peer.PeerAddress;
import org.baykeel.gateway.scheduling.StableHash;

/**
 * This node's place in the order in which nodes take a free partition, by rendezvous hashing. Nodes
 * that know different peers may claim the same place; the store decides between them.
 */
public final class PartitionOrder implements ToIntFunction<LimitPartition> {
  private final PeerAddress self;
  private final Supplier<Collection<PeerAddress>> peers;

  /**
   * Creates an order.
   *
   * @param self this node
   * @param peers the other nodes known now
   */
  public PartitionOrder(PeerAddress self, Supplier<Collection<PeerAddress>> peers) {
    this.self = self;
    this.peers = peers;
  }

  @Override
  public int applyAsInt(LimitPartition partition) {
    int own = weight(self, partition);
    int before = 0;
    for (PeerAddress peer : peers.get()) {
      if (weight(peer, partition) > own) {
        before++;
      }
    }
    return before;
  }

  private static int weight(PeerAddress node, LimitPartition partition) {
    return StableHash.of(node.toString(), partition.key());
  }
}
