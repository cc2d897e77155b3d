package org.baykeel.gateway.load;

/**
 * How late this process's event loop runs. What was received during a stall was not read then, so
 * it is older than it seems.
 */
final class EventLoopLag {
  private final long intervalNanos;
  private long tickNanos;
  private long lastLagNanos;

  EventLoopLag(long intervalNanos, long nowNanos) {
    this.intervalNanos = intervalNanos;
    this.tickNanos = nowNanos;
  }

  /** A task that is to run at each interval runs now. */
  void tick(long nowNanos) {
    lastLagNanos = Math.max(0, nowNanos - tickNanos - intervalNanos);
    tickNanos = nowNanos;
  }

  /** How much older than it seems something may be that is read now. */
  long lagNanos(long nowNanos) {
    return Math.max(lastLagNanos, nowNanos - tickNanos - intervalNanos);
  }
}
