package org.baykeel.gateway.remote;

import java.util.Collection;
import java.util.List;
import java.util.function.Supplier;
import org.baykeel.gateway.configuration.GatewayConfiguration;
import org.baykeel.gateway.peer.PeerAddress;
import org.baykeel.gateway.peer.PeerDirectory;

/**
 * Relay candidates by region: the nodes of this node's region come first. Nodes of other regions
 * are excluded while no configuration is known or a route or tenant is bound to regions, since
 * store calls carry stored turns, which must not leave their region.
 */
public final class RegionalRelayCandidates implements RelayCandidates {
  private final Supplier<PeerDirectory> peers;
  private final Supplier<GatewayConfiguration> configuration;

  /**
   * Creates the candidates.
   *
   * @param peers supplies the known nodes; not called before the first call is relayed
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
