package org.baykeel.gateway.warmup;

/** The times of this node's latest requests to one cold engine. */
final class ColdSends {
  /**
   * One second plus the time that a connection may take to be established: a request is counted
   * when its engine is selected, but the bound applies to the time when it is sent.
   */
  static final long WINDOW_NANOS = 1_300_000_000L;

  private final long[] sentNanos = new long[ColdBounds.PER_NODE];
  private long count;

  boolean hasBudget(long nowNanos) {
    return count < sentNanos.length || nowNanos - oldest() >= WINDOW_NANOS;
  }

  private long oldest() {
    return sentNanos[next()];
  }

  private int next() {
    return (int) (count % sentNanos.length);
  }

  void sent(long nowNanos) {
    sentNanos[next()] = nowNanos;
    count++;
  }

  /** Returns the number of requests sent within the window. */
  int within(long nowNanos) {
    int within = 0;
    for (int i = 0; i < Math.min(count, sentNanos.length); i++) {
      if (nowNanos - sentNanos[i] < WINDOW_NANOS) {
        within++;
      }
    }
    return within;
  }
}
