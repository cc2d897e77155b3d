package org.baykeel.core.scheduling;

import java.util.List;

/** A policy that chooses the engine of a model call. */
public interface EngineSelector {
  /**
   * Chooses among engines that serve the model and take work.
   *
   * @param candidates never empty, ordered by name
   * @return the chosen one, or null to let the call wait for room
   */
  EngineView select(CallDemand demand, List<EngineView> candidates);
}
