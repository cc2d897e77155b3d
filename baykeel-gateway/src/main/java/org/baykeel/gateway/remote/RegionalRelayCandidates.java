package org.baykeel.gateway.remote;

import java.util.Collection;
import java.util.List;
import java.util.function.Supplier;
import org.baykeel.gateway.configuration.GatewayConfiguration;
import org.baykeel.gateway.peer.PeerAddress;
import org.baykeel.gateway.peer.PeerDirectory;

/**
 * Nodes of the own region relay first. Where something may be bound to regions, calls, which carry
 * kept turns, pass no node of another one.
 */
public final class RegionalRelayCandidates implements RelayCandidates {
  private final Supplier<PeerDirectory> peers;
  private final Supplier<GatewayConfiguration> configuration;

  /**
   * Creates candidates.
   *
   * @param peers the nodes known; asked when the first call is relayed
   * @param configuration the configuration in force, or null if none is known
   */
  public RegionalRelayCandidates(
      Supplier<PeerDirectory> peers, Supplier<GatewayConfiguration> configuration) {
    this.peers = peers;
    this.configuration = configuration;
  }

  @Override
  public Collection<PeerAddress> sameRegion() {
    return peers.get().peersInRegion();
  }

  @Override
  public Collection<PeerAddress> otherRegions() {
    GatewayConfiguration inForce = configuration.get();
    boolean unbound = inForce != null && !inForce.boundToRegions();
    return unbound ? peers.get().peers() : List.of();
  }
}
