package org.baykeel.gateway.admission;

/** The times of turns and pauses while the service has capacity, in milliseconds. */
final class BaselineTimes {
  /** Time constant of the exponential decay of older values. */
  private static final double DECAY_NANOS = 20e9;

  private double workMillis;
  private double pauseMillis;
  private boolean known;
  private long observedNanos;

  /** Adds values observed while the service has capacity. */
  void observe(double newWorkMillis, double newPauseMillis, long nowNanos) {
    double weight = known ? 1 - Math.exp(-(nowNanos - observedNanos) / DECAY_NANOS) : 1;
    workMillis += weight * (newWorkMillis - workMillis);
    pauseMillis += weight * (newPauseMillis - pauseMillis);
    known = true;
    observedNanos = nowNanos;
  }

  /**
   * The baseline time of a turn that does not wait.
   *
   * @param fallbackMillis the result if the service never had capacity
   */
  double work(double fallbackMillis) {
    return known ? workMillis : fallbackMillis;
  }

  /**
   * The baseline time between two turns.
   *
   * @param fallbackMillis the result if the service never had capacity
   */
  double pause(double fallbackMillis) {
    return known ? pauseMillis : fallbackMillis;
  }
}
