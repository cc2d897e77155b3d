package org.baykeel.gateway.admission;

/**
 * How fast the use of a service grows. What is known of it is old by some tenths of a second, and
 * programs that begin meanwhile come on top; without looking ahead, a sudden rise is answered only
 * once it has filled the service with more than it can end in time.
 */
final class UtilizationTrend {
  private static final double FAST_NANOS = 100e6;
  private static final double SLOW_NANOS = 500e6;

  /** How long the effect of a decision takes to show, beside the age of what is known. */
  private static final double AHEAD_NANOS = 1e9;

  /** After a longer time without a sample the trend begins anew. */
  private static final long LONGEST_GAP_NANOS = 1_500_000_000L;

  private double fast;
  private double slow;
  private long sampledNanos;
  private boolean begun;

  /** Notes the present use, in requests for each place. */
  void sample(double use, long nowNanos) {
    long gapNanos = nowNanos - sampledNanos;
    if (!begun || gapNanos > LONGEST_GAP_NANOS) {
      fast = use;
      slow = use;
      begun = true;
    } else {
      fast += (1 - Math.exp(-gapNanos / FAST_NANOS)) * (use - fast);
      slow += (1 - Math.exp(-gapNanos / SLOW_NANOS)) * (use - slow);
    }
    sampledNanos = nowNanos;
  }

  /**
   * What the use grows by until a decision of now shows; 0 if it falls.
   *
   * @param ageNanos the age of the last sample when it was taken
   */
  double growth(double ageNanos) {
    double perNano = (fast - slow) / (SLOW_NANOS - FAST_NANOS);
    return Math.max(0, perNano * (ageNanos + AHEAD_NANOS));
  }
}
