package org.baykeel.gateway.warmup;

/**
 * How many requests all nodes together may send to one cold engine within a second: the engine's
 * own rate, times a factor, and a few more.
 *
 * @param overageFactor the factor
 * @param slackRequests the few more
 */
public record ColdBounds(double overageFactor, double slackRequests) {
  /** The part of the bound that is used; the rest is for nodes that know of different peers. */
  static final double USED_PART = 0.8;

  /** Requests that one node sends to one cold engine within {@link ColdSends#WINDOW_NANOS}. */
  static final int PER_NODE = 2;

  /**
   * How many nodes may send to one cold engine.
   *
   * @param requestsPerSecond what the engine bears
   */
  int nodes(double requestsPerSecond) {
    double bound = requestsPerSecond * overageFactor + slackRequests;
    return Math.max(1, (int) (bound * USED_PART / PER_NODE));
  }
}
