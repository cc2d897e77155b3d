package org.baykeel.gateway.http;

import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.baykeel.gateway.runtime.EventLoop;

/** The event loop of Netty as clock and timers. */
public final class NettyEventLoop implements EventLoop {
  private final EventExecutor executor;

  public NettyEventLoop(EventExecutor executor) {
    this.executor = executor;
  }

  @Override
  public long nanoTime() {
    return System.nanoTime();
  }

  @Override
  public Timer schedule(long delayMillis, Runnable task) {
    Future<?> scheduled = executor.schedule(task, delayMillis, TimeUnit.MILLISECONDS);
    return () -> scheduled.cancel(false);
  }
}
