package org.baykeel.gateway.call;

/**
 * The moments of a planned stop, by the event loop's clock.
 *
 * @param beginNanos when the stop began; the node is not ready from then on
 * @param closeNanos when the load balancer has noticed that the node is not ready, and idle
 *     connections are closed
 * @param endNanos when the process ends, whether or not requests are in progress
 */
record StopSchedule(long beginNanos, long closeNanos, long endNanos) {
  /**
   * When a refused caller may return, in milliseconds. Another node can serve it at once; the delay
   * only spreads the callers that are refused at the same moment.
   */
  static final long RETRY_MILLIS = 20;

  /**
   * The load balancer notices after two failed readiness probes, one second apart; the rest is a
   * margin.
   */
  private static final long NOT_READY_NOTICE_MILLIS = 2_600;

  /** The time before the end of the grace period at which the process ends. */
  private static final long END_MARGIN_MILLIS = 500;

  private static final long NANOS_PER_MILLI = 1_000_000;

  /**
   * Creates the schedule of a stop that begins now.
   *
   * @param graceMillis the time until the process is killed, in milliseconds
   */
  static StopSchedule of(long nowNanos, long graceMillis) {
    long closeMillis = Math.min(NOT_READY_NOTICE_MILLIS, graceMillis / 2);
    long endMillis = Math.max(closeMillis, graceMillis - END_MARGIN_MILLIS);
    return new StopSchedule(
        nowNanos, nowNanos + closeMillis * NANOS_PER_MILLI, nowNanos + endMillis * NANOS_PER_MILLI);
  }

  /** The time from the begin until idle connections are closed, in milliseconds. */
  long closeDelayMillis() {
    return (closeNanos - beginNanos) / NANOS_PER_MILLI;
  }

  /** The time since the stop began, in milliseconds. */
  long elapsedMillis(long nowNanos) {
    return (nowNanos - beginNanos) / NANOS_PER_MILLI;
  }

  /**
   * Whether a request is accepted that may last until its deadline. Until idle connections are
   * closed, the load balancer still sends callers here, so all requests are accepted.
   */
  boolean accepts(long nowNanos, long deadlineNanos) {
    return nowNanos - closeNanos < 0 || deadlineNanos - endNanos <= 0;
  }
}
