package org.baykeel.gateway.admission;

/** Estimates how long the engines of a service keep this node's own requests waiting. */
final class LocalWaitEstimate {
  /** Weight of one observation; about the last five count. */
  private static final double SMOOTHING = 0.2;

  private static final double OBSERVATIONS = 1 / SMOOTHING;

  /**
   * The estimate does not decay within this time of an observation, so that it lasts between two
   * requests of a node that gets few of them.
   */
  private static final double NO_DECAY_NANOS = 300e6;

  private static final double DECAY_NANOS = 500e6;

  /**
   * The ages of requests that still wait are spread evenly between 0 and their full wait, so a full
   * wait is on average twice the age.
   */
  private static final double WAIT_PER_MEAN_AGE = 2;

  private double smoothedMillis;
  private long observedNanos;
  private int pending;
  private long sumSentNanos;

  /** Records that a request was sent and waits for its first event. */
  void sent(long sentNanos) {
    pending++;
    sumSentNanos += sentNanos;
  }

  /** Records that a sent request got its first event or ended without one. */
  void waitEnded(long sentNanos) {
    pending--;
    sumSentNanos -= sentNanos;
  }

  /** Adds the wait of a request; negative values count as 0. */
  void observe(double waitMillis, long nowNanos) {
    double before = observedMillis(nowNanos);
    smoothedMillis = before + SMOOTHING * (Math.max(0, waitMillis) - before);
    observedNanos = nowNanos;
  }

  /**
   * The smoothed wait of requests that have got their first event, in milliseconds; without new
   * observations it decays within seconds.
   */
  double observedMillis(long nowNanos) {
    double decayNanos = Math.max(0, nowNanos - observedNanos - NO_DECAY_NANOS);
    return smoothedMillis * Math.exp(-decayNanos / DECAY_NANOS);
  }

  /** The wait including that of requests that still wait, in milliseconds. */
  double currentMillis(long nowNanos) {
    double sumAgeMillis = (pending * nowNanos - sumSentNanos) / 1e6;
    double sumMillis = observedMillis(nowNanos) * OBSERVATIONS + sumAgeMillis * WAIT_PER_MEAN_AGE;
    return sumMillis / (OBSERVATIONS + pending);
  }
}
