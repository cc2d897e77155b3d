package org.baykeel.core.scheduling;

import java.util.List;

/** Baseline: one engine after the other. */
final class RoundRobinSelector implements EngineSelector {
  private int next;

  @Override
  public EngineView select(CallDemand demand, List<EngineView> candidates) {
    next = (next + 1) % candidates.size();
    return candidates.get(next);
  }
}
