package org.baykeel.gateway.load;

/**
 * Measures how late the event loop of this process runs. A message that was received during a stall
 * was not read then, so it is older than its time of reading suggests.
 */
final class EventLoopLag {
  private final long intervalNanos;
  private long tickNanos;
  private long lastLagNanos;

  EventLoopLag(long intervalNanos, long nowNanos) {
    this.intervalNanos = intervalNanos;
    this.tickNanos = nowNanos;
  }

  /** Records a run of the task that is scheduled once per interval. */
  void tick(long nowNanos) {
    lastLagNanos = Math.max(0, nowNanos - tickNanos - intervalNanos);
    tickNanos = nowNanos;
  }

  /**
   * Returns by how much a message that is read now may be older than its time of reading suggests,
   * in nanoseconds.
   */
  long lagNanos(long nowNanos) {
    return Math.max(lastLagNanos, nowNanos - tickNanos - intervalNanos);
  }
}
