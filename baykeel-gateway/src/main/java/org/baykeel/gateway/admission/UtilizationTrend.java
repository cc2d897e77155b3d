package org.baykeel.gateway.admission;

/**
 * Estimates how fast the utilization of a service grows. Load reports are some tenths of a second
 * old, and programs that started since then add to the load; without extrapolation, a sudden rise
 * would be noticed only after the service had admitted more than it can finish in time.
 */
final class UtilizationTrend {
  private static final double FAST_NANOS = 100e6;
  private static final double SLOW_NANOS = 500e6;

  /** The time until a decision shows in the load, on top of the age of the load report. */
  private static final double EFFECT_DELAY_NANOS = 1e9;

  /** The trend restarts after a longer interval between samples. */
  private static final long MAX_SAMPLE_INTERVAL_NANOS = 1_500_000_000L;

  private double fast;
  private double slow;
  private long sampledNanos;
  private boolean initialized;

  /** Adds a sample of the utilization, in requests per slot. */
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
   * The growth expected until a decision made now takes effect; 0 if the utilization falls.
   *
   * @param ageNanos the age of the load report behind the last sample
   */
  double growth(double ageNanos) {
    double perNano = (fast - slow) / (SLOW_NANOS - FAST_NANOS);
    return Math.max(0, perNano * (ageNanos + EFFECT_DELAY_NANOS));
  }
}
