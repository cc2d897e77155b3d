package org.baykeel.core.scheduling;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.SplittableRandom;

/**
 * Weighs, in seconds, what a cached prefix saves against the queue in front of each engine. A call
 * waits only if every engine is full.
 *
 * <p>Only a random part of the engines without cached prefix is weighed, so that many nodes with
 * the same stale reports do not all choose the same engine.
 */
final class CacheAwareSelector implements EngineSelector {
  private static final double SAMPLED_SHARE = 0.5;
  private static final int SAMPLE_MINIMUM = 4;

  private final CostModel costs;
  private final SplittableRandom random;

  CacheAwareSelector(CostModel costs, SplittableRandom random) {
    this.costs = requireNonNull(costs, "costs");
    this.random = requireNonNull(random, "random");
  }

  @Override
  public EngineView select(CallDemand demand, List<EngineView> candidates) {
    EngineView best = null;
    double bestSeconds = 0;
    boolean sample = candidates.size() > SAMPLE_MINIMUM;
    for (EngineView view : candidates) {
      boolean skipped = sample && view.cachedTokens() == 0 && random.nextDouble() > SAMPLED_SHARE;
      if (skipped || !costs.hasRoom(view)) {
        continue;
      }
      double seconds = seconds(demand, view);
      if (best == null || seconds < bestSeconds) {
        best = view;
        bestSeconds = seconds;
      }
    }
    return best != null ? best : anyWithRoom(candidates);
  }

  private double seconds(CallDemand demand, EngineView view) {
    int uncached = demand.promptTokens() - view.cachedTokens();
    return costs.queueSeconds(view) + costs.sharingSeconds(view) + costs.prefillSeconds(uncached);
  }

  /** The sample may have missed the only engine with room. */
  private EngineView anyWithRoom(List<EngineView> candidates) {
    for (EngineView view : candidates) {
      if (costs.hasRoom(view)) {
        return view;
      }
    }
    return null;
  }
}
