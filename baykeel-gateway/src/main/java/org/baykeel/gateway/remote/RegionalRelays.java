package org.baykeel.gateway.remote;

import java.util.Collection;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.baykeel.gateway.peer.PeerAddress;
import org.baykeel.gateway.peer.PeerDirectory;

/**
 * Nodes of the own region relay first. Where something may be bound to regions, calls, which carry
 * kept turns, pass no node of another one.
 */
public final class RegionalRelays implements RelayCandidates {
  private final Supplier<PeerDirectory> peers;
  private final BooleanSupplier free;

  /**
   * Creates candidates.
   *
   * @param peers the nodes known; asked when the first call is relayed
   * @param free whether it is known that nothing is bound to regions
   */
  public RegionalRelays(Supplier<PeerDirectory> peers, BooleanSupplier free) {
    this.peers = peers;
    this.free = free;
  }

  @Override
  public Collection<PeerAddress> near() {
    return peers.get().nearby();
  }

  @Override
  public Collection<PeerAddress> far() {
    return free.getAsBoolean() ? peers.get().peers() : List.of();
  }
}
