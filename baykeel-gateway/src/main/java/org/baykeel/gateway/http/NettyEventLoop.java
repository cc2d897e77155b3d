package org.baykeel.gateway.http;

import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.baykeel.gateway.runtime.EventLoop;
import org.baykeel.gateway.telemetry.GatewayLog;
import org.baykeel.gateway.telemetry.LoggedTask;

/** The event loop of Netty as clock and timers. */
public final class NettyEventLoop implements EventLoop {
  private final EventExecutor executor;
  private final GatewayLog log;

  /**
   * Creates an event loop.
   *
   * @param log receives the errors of scheduled tasks
   */
  public NettyEventLoop(EventExecutor executor, GatewayLog log) {
    this.executor = executor;
    this.log = log;
  }

  @Override
  public long nanoTime() {
    return System.nanoTime();
  }

  @Override
  public Timer schedule(long delayMillis, Runnable task) {
    LoggedTask logged = new LoggedTask("timer", task, log);
    Future<?> scheduled = executor.schedule(logged, delayMillis, TimeUnit.MILLISECONDS);
    return () -> scheduled.cancel(false);
  }
}
