package org.baykeel.gateway.admission;

/**
 * The share of first turns that are admitted. It falls at once, and rises from 0 to 1 in no less
 * than the duration of a program, since otherwise all waiting callers would be admitted together.
 * Admissions are spaced evenly instead of drawn at random.
 */
final class AdmittedShare {
  /**
   * Lower bound of the share: some programs are always admitted, so that the end of an overload is
   * noticed.
   */
  static final double MIN_SHARE = 0.05;

  private double share;
  private double credit;
  private boolean initialized;
  private long updatedNanos;

  /**
   * Creates a share before its first update.
   *
   * @param firstCredit from 0 to 1; differs between nodes, so that they do not admit at the same
   *     moment
   */
  AdmittedShare(double firstCredit) {
    this.credit = firstCredit;
  }

  /**
   * Moves the share towards a target.
   *
   * @param target the share that the present load allows
   * @param riseMillis the time in which the share may rise from 0 to 1
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

  /**
   * Returns whether the next program is admitted.
   *
   * @param tenantShare the share of the programs of its tenant that are admitted
   */
  boolean admitNext(double tenantShare) {
    credit += tenantShare;
    if (credit < 1) {
      return false;
    }
    credit -= 1;
    return true;
  }
}
