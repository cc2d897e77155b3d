package org.baykeel.gateway.ratelimit;

/**
 * How exactly limits are kept.
 *
 * @param holdMillis how long a token may be kept by the node that asked for it
 * @param takeoverTokens what the bucket of a tenant holds when another node takes it over
 */
public record LimitBounds(long holdMillis, double takeoverTokens) {
  /**
   * Tokens that are used later than they were given pass the rate by the rate times that delay. The
   * operator's overage of a window covers this; the rest of it is for requests under way.
   */
  private static final double PART_OF_OVERAGE = 0.8;

  /**
   * A bucket may change hands a few times within a window, and the last holder may have emptied it
   * just before, so each takeover may give only a part of the operator's slack.
   */
  private static final double PART_OF_SLACK = 0.2;

  /**
   * Derives the bounds from the operator's.
   *
   * @param windowSeconds the span for which requests are counted
   * @param overage the part by which they may pass the limit
   * @param slack requests by which they may pass it besides
   */
  public static LimitBounds of(double windowSeconds, double overage, double slack) {
    return new LimitBounds(
        Math.round(windowSeconds * overage * PART_OF_OVERAGE * 1_000), slack * PART_OF_SLACK);
  }
}
