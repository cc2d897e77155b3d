package org.baykeel.gateway.runtime;

/**
 * A time limit for something that arrives over the network. It has passed only once the event loop
 * has read what arrived within it: an event loop that lags runs the timers that are due before it
 * reads, so that its own lag would look like the silence of the other end.
 */
public final class TimeLimit implements EventLoop.Timer {
  /** The event loop reads between a timer and another one that it schedules with this delay. */
  private static final long READ_MILLIS = 1;

  private EventLoop.Timer timer;
  private boolean cancelled;

  /** Schedules tasks on an event loop. */
  @FunctionalInterface
  public interface Scheduler {
    /** Runs a task once after a delay in milliseconds. */
    EventLoop.Timer schedule(long delayMillis, Runnable task);
  }

  private TimeLimit() {}

  /**
   * Starts a time limit.
   *
   * @param millis the limit in milliseconds
   * @param onPassed runs once the limit has passed, unless cancelled before
   */
  public static TimeLimit start(Scheduler scheduler, long millis, Runnable onPassed) {
    TimeLimit limit = new TimeLimit();
    Runnable confirm =
        () -> limit.timer = scheduler.schedule(READ_MILLIS, () -> limit.run(onPassed));
    limit.timer = scheduler.schedule(Math.max(0, millis - READ_MILLIS), confirm);
    return limit;
  }

  private void run(Runnable onPassed) {
    if (!cancelled) {
      onPassed.run();
    }
  }

  @Override
  public void cancel() {
    cancelled = true;
    timer.cancel();
  }
}
