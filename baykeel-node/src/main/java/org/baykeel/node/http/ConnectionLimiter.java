package org.baykeel.node.http;

import java.util.concurrent.atomic.AtomicInteger;

/** Bounds the number of connections; shared by all network threads. */
public final class ConnectionLimiter {
  private final int maximum;
  private final AtomicInteger open = new AtomicInteger();

  public ConnectionLimiter(int maximum) {
    this.maximum = maximum;
  }

  /** Takes a place if there is one. */
  public boolean tryAcquire() {
    int present = open.get();
    while (present < maximum) {
      if (open.compareAndSet(present, present + 1)) {
        return true;
      }
      present = open.get();
    }
    return false;
  }

  /** Gives a place back. */
  public void release() {
    open.decrementAndGet();
  }

  /** Number of places taken. */
  public int open() {
    return open.get();
  }
}
