package org.baykeel.gateway.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.UnknownHostException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class TestOffLoopNameResolver {
  private static final int CONNECT_MILLIS = 2_000;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

  @AfterEach
  void stop() {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
  }

  private ChannelFuture connect(String host, int port) {
    return KeepAliveBootstrap.bootstrap(group, CONNECT_MILLIS)
        .handler(new ChannelInboundHandlerAdapter())
        .connect(host, port);
  }

  /** Host names are used by settings only, and worked before. */
  @ParameterizedTest
  @ValueSource(strings = {"127.0.0.1", "localhost"})
  void connectsToLiteralAndToHostName(String host) throws IOException {
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      ChannelFuture connected = connect(host, server.getLocalPort());
      assertTrue(connected.awaitUninterruptibly(10, TimeUnit.SECONDS));
      assertTrue(connected.isSuccess(), () -> String.valueOf(connected.cause()));
      InetSocketAddress remote = (InetSocketAddress) connected.channel().remoteAddress();
      assertEquals("127.0.0.1", remote.getAddress().getHostAddress());
    }
  }

  /** Guards against a name service that does not respond and stops the event loop. */
  @Test
  void lookupLeavesTheEventLoopFree() throws Exception {
    CountDownLatch responds = new CountDownLatch(1);
    OffLoopNameResolver resolver =
        new OffLoopNameResolver(group.next(), host -> addressesOnceOpen(responds));
    AtomicReference<Future<InetAddress>> resolved = new AtomicReference<>();
    group.next().submit(() -> resolved.set(resolver.resolve("store.example"))).sync();
    assertFalse(resolved.get().isDone());
    assertTrue(resolver.resolve("10.0.0.1").await(10, TimeUnit.SECONDS));
    responds.countDown();
    assertTrue(resolved.get().await(10, TimeUnit.SECONDS));
    assertEquals("127.0.0.1", resolved.get().getNow().getHostAddress());
  }

  private static InetAddress[] addressesOnceOpen(CountDownLatch latch) throws UnknownHostException {
    try {
      assertTrue(latch.await(20, TimeUnit.SECONDS));
    } catch (InterruptedException e) {
      throw new UnknownHostException("interrupted");
    }
    return InetAddress.getAllByName("127.0.0.1");
  }

  @Test
  void connectionsUseThisResolver() {
    assertInstanceOf(
        OffLoopResolverGroup.class,
        KeepAliveBootstrap.bootstrap(group, CONNECT_MILLIS).config().resolver());
  }

  @ParameterizedTest
  @ValueSource(strings = {"no-such-host.invalid", "999.1.1.1", "[::1"})
  void connectingToAnUnknownHostFails(String host) {
    ChannelFuture connecting = connect(host, 80);
    assertTrue(connecting.awaitUninterruptibly(50, TimeUnit.SECONDS));
    assertInstanceOf(UnknownHostException.class, connecting.cause());
  }
}
