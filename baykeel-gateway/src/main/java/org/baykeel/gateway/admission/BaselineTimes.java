package org.baykeel.gateway.admission;

/** What turns and pauses of programs take while there is room. Times are in milliseconds. */
final class BaselineTimes {
  /** Within this time a value loses most of its weight. */
  private static final double DECAY_NANOS = 20e9;

  private double workMillis;
  private double pauseMillis;
  private boolean known;
  private long observedNanos;

  /** Notes present values, seen while there is room. */
  void observe(double newWorkMillis, double newPauseMillis, long nowNanos) {
    double weight = known ? 1 - Math.exp(-(nowNanos - observedNanos) / DECAY_NANOS) : 1;
    workMillis += weight * (newWorkMillis - workMillis);
    pauseMillis += weight * (newPauseMillis - pauseMillis);
    known = true;
    observedNanos = nowNanos;
  }

  /**
   * The usual time of a turn that does not wait.
   *
   * @param fallbackMillis stands for it while there never was room
   */
  double work(double fallbackMillis) {
    return known ? workMillis : fallbackMillis;
  }

  /**
   * The usual time between two turns.
   *
   * @param fallbackMillis stands for it while there never was room
   */
  double pause(double fallbackMillis) {
    return known ? pauseMillis : fallbackMillis;
  }
}
