package org.baykeel.gateway.tenancy;

/**
 * What a tenant asked for lately at all nodes together, refused requests included.
 *
 * @param multiple in multiples of its limit's rate; chance alone brings it above 1 rarely
 */
public record LimitUse(double multiple) {
  /** Where there is no limit or nothing is known of its use: as if all of it were used. */
  public static final LimitUse UNKNOWN = new LimitUse(1);

  public LimitUse {
    if (!(multiple >= 0) || Double.isInfinite(multiple)) {
      throw new IllegalArgumentException("a use of " + multiple);
    }
  }

  /** What another node told, which may be anything; unknown if it is no use. */
  public static LimitUse ofPeer(double multiple) {
    return multiple >= 0 && !Double.isInfinite(multiple) ? new LimitUse(multiple) : UNKNOWN;
  }

  /** Whether the tenant asked for no more than its limit. */
  public boolean withinLimit() {
    return multiple <= 1;
  }
}
