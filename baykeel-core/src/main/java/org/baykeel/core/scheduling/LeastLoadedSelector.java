package org.baykeel.core.scheduling;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.SplittableRandom;

/** Baseline: the engine with the lowest relative load; ties are broken at random. */
final class LeastLoadedSelector implements EngineSelector {
  private final SplittableRandom random;

  LeastLoadedSelector(SplittableRandom random) {
    this.random = requireNonNull(random, "random");
  }

  @Override
  public EngineView select(CallDemand demand, List<EngineView> candidates) {
    EngineView best = null;
    int ties = 0;
    for (EngineView view : candidates) {
      double difference = best == null ? -1 : view.relativeLoad() - best.relativeLoad();
      if (difference < 0) {
        best = view;
        ties = 1;
      } else if (difference == 0) {
        ties++;
        best = random.nextInt(ties) == 0 ? view : best;
      }
    }
    return best;
  }
}
