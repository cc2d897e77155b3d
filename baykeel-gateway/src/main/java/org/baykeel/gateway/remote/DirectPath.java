package org.baykeel.gateway.remote;

/** What this node knows about its own way to the store, from the outcomes of its calls. */
final class DirectPath {
  /** Consecutive failures after which the way counts as broken. */
  private static final int FAILURES_UNTIL_BROKEN = 2;

  /** Weight of one observed time to an answer. */
  private static final double SMOOTHING = 0.1;

  /** A call without an answer after this multiple of the usual time is worth a second way. */
  private static final double OVERDUE_FACTOR = 6.0;

  private static final double FIRST_GUESS_MILLIS = 25;
  private static final long MIN_OVERDUE_MILLIS = 80;

  private double usualMillis = FIRST_GUESS_MILLIS;
  private int consecutiveFailures;

  /** Notes an answer of a call that may have waited for something to tell. */
  void answered() {
    consecutiveFailures = 0;
  }

  /**
   * Notes an answer.
   *
   * @param millis the time that it took
   */
  void answered(double millis) {
    usualMillis += SMOOTHING * (millis - usualMillis);
    consecutiveFailures = 0;
  }

  void failed() {
    consecutiveFailures++;
  }

  /** Whether calls are expected to be answered. */
  boolean working() {
    return consecutiveFailures < FAILURES_UNTIL_BROKEN;
  }

  /** The time after which an answer that has not come is overdue, in milliseconds. */
  long overdueMillis() {
    return Math.max(MIN_OVERDUE_MILLIS, Math.round(usualMillis * OVERDUE_FACTOR));
  }
}
