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
  private static final double EFFECT_DELAY_NANOS = 1e9;

  /** After a longer time without a sample the trend begins anew. */
  private static final long MAX_SAMPLE_INTERVAL_NANOS = 1_500_000_000L;

  private double fast;
  private double slow;
  private long sampledNanos;
  private boolean initialized;

  /** Notes the present use, in requests for each place. */
  void sample(double utilization, long nowNanos) {
    long intervalNanos = nowNanos - sampledNanos;
    if (!initialized || intervalNanos > MAX_SAMPLE_INTERVAL_NANOS) {
      fast = utilization;
      slow = utilization;
      initialized = true;
    } else {
      fast += (1 - Math.exp(-intervalNanos / FAST_NANOS)) * (utilization - fast);
      slow += (1 - Math.exp(-intervalNanos / SLOW_NANOS)) * (utilization - slow);
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
    return Math.max(0, perNano * (ageNanos + EFFECT_DELAY_NANOS));
  }
}
