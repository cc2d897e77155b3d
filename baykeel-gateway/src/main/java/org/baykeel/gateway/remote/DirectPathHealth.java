package org.baykeel.gateway.remote;

/** What this node knows about its own way to the store, from the outcomes of its calls. */
final class DirectPathHealth {
  /** Consecutive failures after which the way counts as broken. */
  private static final int FAILURES_UNTIL_BROKEN = 2;

  /** Weight of one observed time to an answer. */
  private static final double SMOOTHING = 0.1;

  /** A call without an answer after this multiple of the usual time is worth a second way. */
  private static final double OVERDUE_FACTOR = 6.0;

  /**
   * A way on which something was answered so lately works, whatever failed since: the store may be
   * away in part, and calls to the other parts are answered between those that fail. With 32 in 100
   * of its partitions away and no such rule, 67 nodes lost and regained the way some 350 times each
   * half second.
   */
  private static final long PARTIAL_OUTAGE_NANOS = 250_000_000L;

  private static final double INITIAL_AVERAGE_MILLIS = 25;
  private static final long MIN_OVERDUE_MILLIS = 80;

  private double averageMillis = INITIAL_AVERAGE_MILLIS;
  private int consecutiveFailures;
  private boolean broken;
  private boolean everAnswered;
  private long lastAnswerNanos;

  /** Notes an answer of a call that may have waited for something to tell. */
  void answered(long nowNanos) {
    consecutiveFailures = 0;
    broken = false;
    everAnswered = true;
    lastAnswerNanos = nowNanos;
  }

  /**
   * Notes an answer.
   *
   * @param millis the time that it took
   */
  void answered(double millis, long nowNanos) {
    averageMillis += SMOOTHING * (millis - averageMillis);
    answered(nowNanos);
  }

  /** Notes a call that was not answered, or turned away. */
  void failed(long nowNanos) {
    consecutiveFailures++;
    boolean partialOutage = everAnswered && nowNanos - lastAnswerNanos < PARTIAL_OUTAGE_NANOS;
    broken = broken || consecutiveFailures >= FAILURES_UNTIL_BROKEN && !partialOutage;
  }

  /** Whether calls are expected to be answered. */
  boolean working() {
    return !broken;
  }

  /** The time after which an answer that has not come is overdue, in milliseconds. */
  long overdueMillis() {
    return Math.max(MIN_OVERDUE_MILLIS, Math.round(averageMillis * OVERDUE_FACTOR));
  }
}
