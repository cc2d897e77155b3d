package org.baykeel.gateway.http;

import io.netty.channel.ChannelFuture;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.Executor;
import java.util.function.ObjIntConsumer;

/**
 * Flushes what was written to a connection once at the end of a pass of the event loop, however
 * much it is: an engine may send very many events at once, and each flush is a system call.
 *
 * <p>What a connection does not accept is told only after the flush: until then it is not known
 * whether the caller reads.
 */
final class DeferredFlush {
  private final Executor eventLoop;
  private final Runnable flush;
  private final ObjIntConsumer<ChannelFuture> onNotAccepted;
  private final Queue<Write> unflushed = new ArrayDeque<>();
  private boolean scheduled;

  /** Something that was written and may not be flushed yet. */
  private record Write(ChannelFuture written, int bytes) {}

  /**
   * Creates an instance that has nothing to flush.
   *
   * @param eventLoop runs what it is passed at the end of the present pass
   * @param flush flushes what was written
   * @param onNotAccepted receives each write that a flush did not complete, and its bytes
   */
  DeferredFlush(Executor eventLoop, Runnable flush, ObjIntConsumer<ChannelFuture> onNotAccepted) {
    this.eventLoop = eventLoop;
    this.flush = flush;
    this.onNotAccepted = onNotAccepted;
  }

  /** Records a write that is flushed at the end of this pass. */
  void written(ChannelFuture written, int bytes) {
    unflushed.add(new Write(written, bytes));
    if (!scheduled) {
      scheduled = true;
      eventLoop.execute(this::run);
    }
  }

  private void run() {
    scheduled = false;
    flushNow();
  }

  /** Flushes without waiting for the end of this pass. */
  void flushNow() {
    flush.run();
    for (Write write = unflushed.poll(); write != null; write = unflushed.poll()) {
      if (!write.written().isDone()) {
        onNotAccepted.accept(write.written(), write.bytes());
      }
    }
  }
}
