package org.baykeel.gateway.http;

import java.util.concurrent.Executor;

/**
 * Flushes what was written to a connection once at the end of a pass of the event loop, however
 * often it is requested: an engine may send very many events at once, and each flush is a system
 * call.
 */
final class DeferredFlush {
  private final Executor eventLoop;
  private final Runnable flush;
  private boolean scheduled;

  /**
   * Creates an instance that has nothing to flush.
   *
   * @param eventLoop runs what it is passed at the end of the present pass
   * @param flush flushes what was written
   */
  DeferredFlush(Executor eventLoop, Runnable flush) {
    this.eventLoop = eventLoop;
    this.flush = flush;
  }

  /** Flushes at the end of this pass. */
  void request() {
    if (!scheduled) {
      scheduled = true;
      eventLoop.execute(this::run);
    }
  }

  private void run() {
    scheduled = false;
    flush.run();
  }
}
