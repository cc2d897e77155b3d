package org.baykeel.gateway.ratelimit;

import java.util.Collection;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;
import org.baykeel.gateway.peer.PeerAddress;
import org.baykeel.gateway.peer.RendezvousOrder;

/**
 * This node's rank in the order in which nodes take a free partition. If several nodes compute the
 * same rank, the conditional write to the store decides between them.
 */
public final class PartitionOrder implements ToIntFunction<LimitPartition> {
  private final RendezvousOrder order;

  /**
   * Creates an order over a changing set of nodes.
   *
   * @param self this node
   * @param peers supplies the other nodes that are known now
   */
  public PartitionOrder(PeerAddress self, Supplier<Collection<PeerAddress>> peers) {
    this.order = new RendezvousOrder(self, peers);
  }

  @Override
  public int applyAsInt(LimitPartition partition) {
    return order.rankOfSelf(partition.key());
  }
}
