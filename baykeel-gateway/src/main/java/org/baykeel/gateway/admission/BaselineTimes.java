package org.baykeel.gateway.admission;

/** What turns and pauses of programs take while there is room. Times are in milliseconds. */
final class BaselineTimes {
  /** Within this time a value loses most of its weight. */
  private static final double FORGETTING_NANOS = 20e9;

  private double workMillis;
  private double pauseMillis;
  private boolean known;
  private long observedNanos;

  /** Notes present values, seen while there is room. */
  void observe(double work, double pause, long nowNanos) {
    double weight = known ? 1 - Math.exp(-(nowNanos - observedNanos) / FORGETTING_NANOS) : 1;
    workMillis += weight * (work - workMillis);
    pauseMillis += weight * (pause - pauseMillis);
    known = true;
    observedNanos = nowNanos;
  }

  /**
   * The usual time of a turn that does not wait.
   *
   * @param present stands for it while there never was room
   */
  double work(double present) {
    return known ? workMillis : present;
  }

  /**
   * The usual time between two turns.
   *
   * @param present stands for it while there never was room
   */
  double pause(double present) {
    return known ? pauseMillis : present;
  }
}
