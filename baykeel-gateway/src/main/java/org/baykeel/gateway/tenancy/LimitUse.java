package org.baykeel.gateway.tenancy;

/**
 * A tenant's demand of about the last second over all nodes together, refused requests included.
 *
 * @param multiple the demand in multiples of the limit's rate; chance variation rarely raises it
 *     above 1
 */
public record LimitUse(double multiple) {
  /**
   * Used without a limit or where the demand is unknown; equivalent to a demand equal to the limit.
   */
  public static final LimitUse UNKNOWN = new LimitUse(1);

  public LimitUse {
    if (!(multiple >= 0) || Double.isInfinite(multiple)) {
      throw new IllegalArgumentException("invalid limit use: " + multiple);
    }
  }

  /** Returns a demand that a peer sent, or {@link #UNKNOWN} if the value is invalid. */
  public static LimitUse ofPeer(double multiple) {
    return multiple >= 0 && !Double.isInfinite(multiple) ? new LimitUse(multiple) : UNKNOWN;
  }

  /** Returns whether the tenant's demand was within its limit. */
  public boolean withinLimit() {
    return multiple <= 1;
  }
}
