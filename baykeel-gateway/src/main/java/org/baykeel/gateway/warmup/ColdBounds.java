package org.baykeel.gateway.warmup;

/**
 * The number of requests that all nodes together may send to one cold engine within a second: the
 * rate of the engine, multiplied by a factor, plus a fixed number.
 *
 * @param overageFactor the factor
 * @param slackRequests the fixed number
 */
public record ColdBounds(double overageFactor, double slackRequests) {
  /** The part of the bound that is used. The rest is for nodes that know of different peers. */
  static final double USED_PART = 0.8;

  /** Requests that one node sends to one cold engine within {@link ColdSends#WINDOW_NANOS}. */
  static final int PER_NODE = 2;

  /**
   * Returns how many nodes may send to one cold engine; at least 1.
   *
   * @param requestsPerSecond the rate that the engine can take while it is cold
   */
  int nodes(double requestsPerSecond) {
    double bound = requestsPerSecond * overageFactor + slackRequests;
    return Math.max(1, (int) (bound * USED_PART / PER_NODE));
  }
}
