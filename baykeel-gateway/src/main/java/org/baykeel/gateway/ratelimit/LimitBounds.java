package org.baykeel.gateway.ratelimit;

/**
 * The accuracy with which limits are enforced.
 *
 * @param holdMillis how long a node that requested a token may retain it before use, in
 *     milliseconds
 * @param extraTokens tokens that a full bucket holds in addition to the tenant's burst
 * @param takeoverTokens tokens in a tenant's bucket when a new holder takes it over, before the
 *     tokens that the previous holder may have lent are deducted
 */
public record LimitBounds(long holdMillis, double extraTokens, double takeoverTokens) {
  /**
   * A token that is used with a delay after it was granted can exceed the rate by the rate times
   * that delay. This fraction of the operator's overage for a window covers such delays; the rest
   * is for requests in progress.
   */
  private static final double OVERAGE_FRACTION = 0.8;

  /**
   * The fraction of the operator's slack by which a bucket is larger than the tenant's burst.
   * Requests of a tenant with a low limit arrive in bursts, and its configured burst may be smaller
   * than one of them.
   */
  private static final double EXTRA_FRACTION_OF_SLACK = 0.4;

  /**
   * A bucket may change its holder four times within a window, and the previous holder may have
   * emptied it immediately before, so each takeover grants only this fraction of the operator's
   * slack. The remaining slack is for requests that were in progress while a process was paused.
   */
  private static final double TAKEOVER_FRACTION_OF_SLACK = 0.1;

  /**
   * Derives the bounds from the operator's settings.
   *
   * @param windowSeconds the window over which requests are counted, in seconds
   * @param overage the fraction by which the requests of a window may exceed the limit
   * @param slack the number of requests by which they may exceed it in addition
   */
  public static LimitBounds of(double windowSeconds, double overage, double slack) {
    return new LimitBounds(
        Math.round(windowSeconds * overage * OVERAGE_FRACTION * 1_000),
        slack * EXTRA_FRACTION_OF_SLACK,
        slack * TAKEOVER_FRACTION_OF_SLACK);
  }
}
