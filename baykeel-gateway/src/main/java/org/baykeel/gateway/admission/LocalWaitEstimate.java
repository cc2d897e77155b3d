package org.baykeel.gateway.admission;

/** How long engines of a service keep this process's own requests waiting. */
final class LocalWaitEstimate {
  /** Weight of one observation; about the last five count. */
  private static final double SMOOTHING = 0.2;

  private static final double OBSERVATIONS = 1 / SMOOTHING;

  /** Between two requests of a node that gets few of them nothing fades. */
  private static final double NO_DECAY_NANOS = 300e6;

  private static final double DECAY_NANOS = 500e6;

  /** The ages of requests that wait lie evenly between none and their whole wait. */
  private static final double WAIT_PER_MEAN_AGE = 2;

  private double smoothedMillis;
  private long observedNanos;
  private int pending;
  private long sumSentNanos;

  /** A request was sent; its first event is not there yet. */
  void sent(long sentNanos) {
    pending++;
    sumSentNanos += sentNanos;
  }

  /** A request that was sent got its first event, or came to nothing. */
  void waitEnded(long sentNanos) {
    pending--;
    sumSentNanos -= sentNanos;
  }

  /** Notes how long a request waited; negative values count as none. */
  void observe(double waitMillis, long nowNanos) {
    double before = observedMillis(nowNanos);
    smoothedMillis = before + SMOOTHING * (Math.max(0, waitMillis) - before);
    observedNanos = nowNanos;
  }

  /**
   * The smoothed wait of the requests that have waited, in milliseconds; without observations it
   * fades out within seconds.
   */
  double observedMillis(long nowNanos) {
    double decayNanos = Math.max(0, nowNanos - observedNanos - NO_DECAY_NANOS);
    return smoothedMillis * Math.exp(-decayNanos / DECAY_NANOS);
  }

  /** The same, with the requests that still wait, in milliseconds. */
  double currentMillis(long nowNanos) {
    double sumAgeMillis = (pending * nowNanos - sumSentNanos) / 1e6;
    double sumMillis = observedMillis(nowNanos) * OBSERVATIONS + sumAgeMillis * WAIT_PER_MEAN_AGE;
    return sumMillis / (OBSERVATIONS + pending);
  }
}
