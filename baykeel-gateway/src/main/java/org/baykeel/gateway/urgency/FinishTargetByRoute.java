package org.baykeel.gateway.urgency;

import java.util.HashMap;
import java.util.Map;

/**
 * The usual time from the start of a program until its finish target, by route, as observed by this
 * node.
 */
final class FinishTargetByRoute {
  /** The weight of a new observation; the mean covers about the last 30. */
  private static final double WEIGHT = 1.0 / 30;

  private final Map<String, double[]> meanMillis = new HashMap<>();

  /**
   * Records the time until the finish target of a program that is new to this node.
   *
   * @param millis the time in milliseconds, as of a request that may be the program's first turn
   */
  void observe(String route, long millis) {
    double[] mean = meanMillis.computeIfAbsent(route, name -> new double[] {millis});
    mean[0] += WEIGHT * (millis - mean[0]);
  }

  /**
   * Returns the usual time until the finish target in milliseconds; 0 if no program of the route
   * was observed.
   */
  double usualMillis(String route) {
    double[] mean = meanMillis.get(route);
    return mean == null ? 0 : mean[0];
  }
}
