package org.baykeel.node.agent;

import java.util.concurrent.TimeUnit;

/** Epoch milliseconds that never go back within a process, whatever is done to the wall clock. */
public final class MonotonicClock {
  private final long startMillis = System.currentTimeMillis();
  private final long startNanos = System.nanoTime();

  /** The present time in epoch milliseconds. */
  public long millis() {
    return startMillis + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
  }
}
