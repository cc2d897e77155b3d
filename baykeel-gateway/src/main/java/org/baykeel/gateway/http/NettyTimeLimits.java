package org.baykeel.gateway.http;

import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.baykeel.gateway.runtime.EventLoop;
import org.baykeel.gateway.runtime.TimeLimit;

/** Time limits on the event loops of Netty. */
public final class NettyTimeLimits {
  private NettyTimeLimits() {}

  /**
   * Starts a time limit.
   *
   * @param millis the limit in milliseconds
   * @param onPassed runs on the event loop once the limit has passed, unless cancelled before
   */
  public static EventLoop.Timer start(EventExecutor eventLoop, long millis, Runnable onPassed) {
    return TimeLimit.start((delay, task) -> schedule(eventLoop, delay, task), millis, onPassed);
  }

  private static EventLoop.Timer schedule(EventExecutor eventLoop, long millis, Runnable task) {
    Future<?> scheduled = eventLoop.schedule(task, millis, TimeUnit.MILLISECONDS);
    return () -> scheduled.cancel(false);
  }
}
