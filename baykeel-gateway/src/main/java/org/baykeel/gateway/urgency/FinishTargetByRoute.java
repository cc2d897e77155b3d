package org.baykeel.gateway.urgency;

import java.util.HashMap;
import java.util.Map;

/**
 * The usual latency target of the programs of each route when they start, as observed by this node.
 */
final class FinishTargetByRoute {
  /** The weight of a new observation; the mean covers about the last 30. */
  private static final double WEIGHT = 1.0 / 30;

  private final Map<String, double[]> meanMillis = new HashMap<>();

  /** Records the latency target of a program that starts, in milliseconds. */
  void observe(String route, long millis) {
    double[] mean = meanMillis.computeIfAbsent(route, name -> new double[] {millis});
    mean[0] += WEIGHT * (millis - mean[0]);
  }

  /**
   * Returns the usual latency target in milliseconds; 0 if no program of the route was observed.
   */
  double usualMillis(String route) {
    double[] mean = meanMillis.get(route);
    return mean == null ? 0 : mean[0];
  }
}
