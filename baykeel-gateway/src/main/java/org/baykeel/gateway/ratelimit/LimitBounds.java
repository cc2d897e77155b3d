package org.baykeel.gateway.ratelimit;

/**
 * How exactly limits are kept.
 *
 * @param holdMillis how long a token may be kept by the node that asked for it
 * @param extraTokens what a full bucket holds beyond the tenant's burst
 * @param takeoverTokens what the bucket of a tenant holds when another node takes it over
 */
public record LimitBounds(long holdMillis, double extraTokens, double takeoverTokens) {
  /**
   * Tokens that are used later than they were given pass the rate by the rate times that delay. The
   * operator's overage of a window covers this; the rest of it is for requests under way.
   */
  private static final double OVERAGE_FRACTION = 0.8;

  /** Requests of a slow tenant come in clumps, and its burst may be smaller than such a clump. */
  private static final double EXTRA_FRACTION_OF_SLACK = 0.4;

  /**
   * A bucket may change hands four times within a window, and the last holder may have emptied it
   * just before, so each takeover gives only this part of the operator's slack. What is left of the
   * slack is for requests that were under way when a process stood still.
   */
  private static final double TAKEOVER_FRACTION_OF_SLACK = 0.1;

  /**
   * Derives the bounds from the operator's.
   *
   * @param windowSeconds the span for which requests are counted
   * @param overage the part by which they may pass the limit
   * @param slack requests by which they may pass it besides
   */
  public static LimitBounds of(double windowSeconds, double overage, double slack) {
    return new LimitBounds(
        Math.round(windowSeconds * overage * OVERAGE_FRACTION * 1_000),
        slack * EXTRA_FRACTION_OF_SLACK,
        slack * TAKEOVER_FRACTION_OF_SLACK);
  }
}
