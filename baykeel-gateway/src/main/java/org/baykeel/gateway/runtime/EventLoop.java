package org.baykeel.gateway.runtime;

/** The single thread of a process: its steady clock and its timers. */
public interface EventLoop {

  /** Nanoseconds of a steady clock. */
  long nanoTime();

  /** Runs a task once after a delay. */
  Timer schedule(long delayMillis, Runnable task);

  /** A task that has not run yet. */
  interface Timer {
    /** Does nothing if the task has run. */
    void cancel();
  }
}
