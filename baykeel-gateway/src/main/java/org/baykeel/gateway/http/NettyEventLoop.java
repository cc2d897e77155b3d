package org.baykeel.gateway.http;

import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.baykeel.gateway.runtime.EventLoop;
import org.baykeel.gateway.telemetry.GatewayLog;
import org.baykeel.gateway.telemetry.LoggedTask;
import org.baykeel.gateway.telemetry.LoopWork;

/** The event loop of Netty as clock and timers. */
public final class NettyEventLoop implements EventLoop {
  private final EventExecutor executor;
  private final GatewayLog log;
  private final LoopWork work;

  /**
   * Creates an event loop.
   *
   * @param log receives the errors of scheduled tasks
   */
  public NettyEventLoop(EventExecutor executor, GatewayLog log) {
    this(executor, log, new LoopWork());
  }

  /**
   * Creates an event loop.
   *
   * @param log receives the errors of scheduled tasks
   * @param work is told how late scheduled tasks run, and how long
   */
  public NettyEventLoop(EventExecutor executor, GatewayLog log, LoopWork work) {
    this.executor = executor;
    this.log = log;
    this.work = work;
  }

  @Override
  public long nanoTime() {
    return System.nanoTime();
  }

  @Override
  public Timer schedule(long delayMillis, Runnable task) {
    LoggedTask logged = new LoggedTask("timer", task, log);
    long dueNanos = nanoTime() + TimeUnit.MILLISECONDS.toNanos(delayMillis);
    Future<?> scheduled =
        executor.schedule(() -> run(logged, dueNanos), delayMillis, TimeUnit.MILLISECONDS);
    return () -> scheduled.cancel(false);
  }

  private void run(LoggedTask task, long dueNanos) {
    long beganNanos = nanoTime();
    work.late(beganNanos - dueNanos);
    task.run();
    work.done(LoopWork.Kind.TIMERS, beganNanos);
  }
}
