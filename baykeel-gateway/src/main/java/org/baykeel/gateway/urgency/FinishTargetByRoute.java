package org.baykeel.gateway.urgency;

import java.util.HashMap;
import java.util.Map;

/** The time that programs of each route usually have at their beginning, as seen here. */
final class FinishTargetByRoute {
  /** The weight of a new observation; some thirty of them make up the mean. */
  private static final double WEIGHT = 1.0 / 30;

  private final Map<String, double[]> meanMillis = new HashMap<>();

  /** Notes the time that a program has at its beginning. */
  void observe(String route, long millis) {
    double[] mean = meanMillis.computeIfAbsent(route, name -> new double[] {millis});
    mean[0] += WEIGHT * (millis - mean[0]);
  }

  /** The usual time in milliseconds; 0 if no program of the route was seen. */
  double usualMillis(String route) {
    double[] mean = meanMillis.get(route);
    return mean == null ? 0 : mean[0];
  }
}
