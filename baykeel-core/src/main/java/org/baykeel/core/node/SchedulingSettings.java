package org.baykeel.core.node;

import static java.util.Objects.requireNonNull;

import org.baykeel.core.scheduling.CostModel;
import org.baykeel.core.scheduling.SelectionPolicy;

/**
 * How model calls are scheduled.
 *
 * @param policy how an engine is chosen
 * @param byProgram true to order waiting calls by program, false for first come, first served
 * @param maximumWaiting most model calls that wait for an engine on one node
 * @param watchersPerEngine how many nodes poll each engine
 * @param pollMillis how often a watcher polls
 * @param inventoryMillis how often a watcher asks what an engine caches
 */
public record SchedulingSettings(
    SelectionPolicy policy,
    boolean byProgram,
    int maximumWaiting,
    CostModel costs,
    int watchersPerEngine,
    int pollMillis,
    int inventoryMillis) {
  /** The settings used unless the operator sets others. */
  public static final SchedulingSettings DEFAULT =
      new SchedulingSettings(
          SelectionPolicy.CACHE_AWARE, true, 1_000, CostModel.DEFAULT, 2, 500, 5_000);

  public SchedulingSettings {
    requireNonNull(policy, "policy");
    requireNonNull(costs, "costs");
  }
}
