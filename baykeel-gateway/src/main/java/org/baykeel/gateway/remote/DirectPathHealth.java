package org.baykeel.gateway.remote;

/** The state of this node's direct path to the store, from the outcomes of its calls. */
final class DirectPathHealth {
  /** Consecutive failures after which the path counts as broken. */
  private static final int FAILURES_UNTIL_BROKEN = 2;

  /** Weight of one response time in the moving average. */
  private static final double SMOOTHING = 0.1;

  /**
   * A call without a response after this multiple of the average response time is sent on a second
   * path.
   */
  private static final double OVERDUE_FACTOR = 6.0;

  /**
   * Failures do not break the path within this time after an answered call: in a partial outage of
   * the store, calls to the available partitions are answered between those that fail. Without this
   * rule, with 32 of 100 partitions unavailable, 67 nodes lost and regained the path about 350
   * times per half second.
   */
  private static final long PARTIAL_OUTAGE_NANOS = 250_000_000L;

  private static final double INITIAL_AVERAGE_MILLIS = 25;
  private static final long MIN_OVERDUE_MILLIS = 80;

  private double averageMillis = INITIAL_AVERAGE_MILLIS;
  private int consecutiveFailures;
  private boolean broken;
  private boolean everAnswered;
  private long lastAnswerNanos;

  /**
   * Records the response to a long poll, whose response time says nothing about the path's latency.
   */
  void answered(long nowNanos) {
    consecutiveFailures = 0;
    broken = false;
    everAnswered = true;
    lastAnswerNanos = nowNanos;
  }

  /**
   * Records the response to a call.
   *
   * @param millis the response time in milliseconds
   */
  void answered(double millis, long nowNanos) {
    averageMillis += SMOOTHING * (millis - averageMillis);
    answered(nowNanos);
  }

  /** Records a call that was refused or not answered. */
  void failed(long nowNanos) {
    consecutiveFailures++;
    boolean partialOutage = everAnswered && nowNanos - lastAnswerNanos < PARTIAL_OUTAGE_NANOS;
    broken = broken || consecutiveFailures >= FAILURES_UNTIL_BROKEN && !partialOutage;
  }

  /** Whether calls on the direct path are expected to be answered. */
  boolean working() {
    return !broken;
  }

  /** The time after which a missing response is overdue, in milliseconds. */
  long overdueMillis() {
    return Math.max(MIN_OVERDUE_MILLIS, Math.round(averageMillis * OVERDUE_FACTOR));
  }
}
