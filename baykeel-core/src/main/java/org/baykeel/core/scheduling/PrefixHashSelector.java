package org.baykeel.core.scheduling;

import java.util.List;

/** Baseline: a program always goes to the engine with the highest rendezvous hash. */
final class PrefixHashSelector implements EngineSelector {
  @Override
  public EngineView select(CallDemand demand, List<EngineView> candidates) {
    EngineView best = null;
    long bestScore = 0;
    for (EngineView view : candidates) {
      long score = RendezvousHash.score(demand.programId(), view.engine().name());
      if (best == null || score > bestScore) {
        best = view;
        bestScore = score;
      }
    }
    return best;
  }
}
