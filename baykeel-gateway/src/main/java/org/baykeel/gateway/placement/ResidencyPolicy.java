package org.baykeel.gateway.placement;

import org.baykeel.gateway.directory.Engine;
import org.baykeel.gateway.residency.Residency;
import org.baykeel.gateway.scheduling.EnginePolicy;
import org.baykeel.gateway.scheduling.EngineSelector.Criteria;
import org.baykeel.gateway.topology.Topology;

/**
 * Keeps requests in the regions to which their route and their tenant are bound. An engine whose
 * region is not known runs no bound request.
 */
final class ResidencyPolicy implements EnginePolicy {
  private final Topology topology;

  /** Creates a policy that uses the regions of a topology. */
  ResidencyPolicy(Topology topology) {
    this.topology = topology;
  }

  @Override
  public boolean allows(Engine engine, Criteria criteria, long nowNanos) {
    Residency allowed = criteria.residency();
    return !allowed.bound()
        || topology.knownRegionOf(engine.record().zone()).filter(allowed::allows).isPresent();
  }
}
