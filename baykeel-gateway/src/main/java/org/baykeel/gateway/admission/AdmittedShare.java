package org.baykeel.gateway.admission;

/**
 * The share of programs that may begin. It falls at once and rises no faster than from none to all
 * within the time of a program, or all who waited would come together. Who begins is spread evenly,
 * not drawn one by one.
 */
final class AdmittedShare {
  /** Some begin always, so that an end of the congestion is seen. */
  static final double MIN_SHARE = 0.05;

  private double share;
  private double credit;
  private boolean initialized;
  private long updatedNanos;

  /**
   * Creates a share of nothing decided.
   *
   * @param firstCredit from 0 to 1; apart from that of other nodes, so that they don't admit
   *     together
   */
  AdmittedShare(double firstCredit) {
    this.credit = firstCredit;
  }

  /**
   * Moves towards a target.
   *
   * @param target the share that the present load allows
   * @param riseMillis the time from a share of 0 to one of 1
   */
  void update(double target, double riseMillis, long nowNanos) {
    double bounded = Math.max(MIN_SHARE, Math.min(1, target));
    if (initialized) {
      double rise = (nowNanos - updatedNanos) / 1e6 / Math.max(1, riseMillis);
      share = Math.min(bounded, share + rise);
    } else {
      share = bounded;
    }
    initialized = true;
    updatedNanos = nowNanos;
  }

  double share() {
    return share;
  }

  /** Whether the next program that asks may begin, if this share of them may. */
  boolean admitNext(double tenantShare) {
    credit += tenantShare;
    if (credit < 1) {
      return false;
    }
    credit -= 1;
    return true;
  }
}
