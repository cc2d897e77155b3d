package org.baykeel.gateway.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.Arrays;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.baykeel.gateway.telemetry.GatewayEvent;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class TestNettyEventLoop {
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

  @AfterEach
  void stop() {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
  }

  /** Guards against the error of a timer that is kept in its future, where nobody reads it. */
  @ParameterizedTest(name = "error: {0}")
  @ValueSource(booleans = {false, true})
  void errorOfTimerIsLogged(boolean error) throws Exception {
    CompletableFuture<String> logged = new CompletableFuture<>();
    NettyEventLoop eventLoop =
        new NettyEventLoop(
            group.next(), (event, fields) -> logged.complete(event + Arrays.toString(fields)));
    eventLoop.schedule(1, () -> fail(error));
    String line = logged.get(10, TimeUnit.SECONDS);
    assertTrue(line.startsWith(GatewayEvent.TASK_FAILED + "[where, timer, error, "), line);
    assertEquals(true, line.contains(error ? "StackOverflowError" : "timer fails"), line);
  }

  private static void fail(boolean error) {
    if (error) {
      throw new StackOverflowError();
    }
    throw new IllegalStateException("timer fails");
  }
}
