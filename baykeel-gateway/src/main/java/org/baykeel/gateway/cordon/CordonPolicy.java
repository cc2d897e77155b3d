package org.baykeel.gateway.cordon;

import org.baykeel.gateway.directory.Engine;
import org.baykeel.gateway.scheduling.EnginePolicy;
import org.baykeel.gateway.scheduling.EngineSelector.Criteria;
import org.baykeel.gateway.scheduling.StableHash;

/**
 * Keeps requests away from cordoned zones, except for conversations that may still have their next
 * turn there.
 */
public final class CordonPolicy implements EnginePolicy {
  private final ZoneCordons cordons;

  /** Creates a policy that follows the cordons set by the operator. */
  public CordonPolicy(ZoneCordons cordons) {
    this.cordons = cordons;
  }

  @Override
  public boolean allows(Engine engine, Criteria criteria, long nowNanos) {
    String zone = engine.record().zone();
    if (cordons.open(zone)) {
      return true;
    }
    return criteria.homeKey() != null
        && engine.cachedPrefixes().containsOwnPart(criteria.prompt())
        && cordons.openToConversation(zone, StableHash.of(criteria.homeKey()), nowNanos);
  }
}
