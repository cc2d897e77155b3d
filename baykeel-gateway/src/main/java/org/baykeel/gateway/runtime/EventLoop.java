package org.baykeel.gateway.runtime;

/**
 * The event loop of a process, with a monotonic clock and timers. All its tasks run on one thread.
 */
public interface EventLoop {

  /** Returns the nanoseconds of a monotonic clock. */
  long nanoTime();

  /** Runs a task once after a delay. */
  Timer schedule(long delayMillis, Runnable task);

  /**
   * Runs a task once after a time limit for something that arrives over the network, when the event
   * loop has read what arrived within the limit.
   */
  default Timer scheduleTimeLimit(long limitMillis, Runnable onPassed) {
    return TimeLimit.start(this::schedule, limitMillis, onPassed);
  }

  /** A scheduled task. */
  interface Timer {
    /** Cancels the task; does nothing if it has run. */
    void cancel();
  }
}
