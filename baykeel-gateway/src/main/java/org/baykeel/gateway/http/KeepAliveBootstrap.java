package org.baykeel.gateway.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import jdk.net.ExtendedSocketOptions;

/**
 * Creates bootstraps for long-lived outgoing connections. Such a connection may stop delivering
 * data without being closed, while new connections work; TCP keep-alive probes detect this, so that
 * it is not reused. Connecting to a host name does not block the event loop.
 */
public final class KeepAliveBootstrap {
  /** Time without a byte, in seconds, after which the operating system starts to probe. */
  private static final int PROBE_AFTER_SECONDS = 1;

  private static final int PROBE_INTERVAL_SECONDS = 1;

  /** Unanswered probes after which the connection is closed: 3 s in all. */
  private static final int PROBES = 2;

  private static final int MIN_READ_BYTES = 64;
  private static final int FIRST_READ_BYTES = 2_048;
  private static final int MAX_READ_BYTES = 16_384;

  /** The most reads of a connection before the other connections are read. */
  private static final int MAX_READS = 2;

  private KeepAliveBootstrap() {}

  /**
   * Returns a bootstrap for connections that detect that the other end has become silent.
   *
   * @param connectTimeoutMillis the time limit for connecting, in milliseconds
   */
  public static Bootstrap bootstrap(EventLoopGroup group, int connectTimeoutMillis) {
    return new Bootstrap()
        .group(group)
        .channel(NioSocketChannel.class)
        .resolver(OffLoopResolverGroup.INSTANCE)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(
            ChannelOption.RECVBUF_ALLOCATOR,
            new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES)
                .maxMessagesPerRead(MAX_READS))
        .option(ChannelOption.SO_KEEPALIVE, true)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), PROBE_AFTER_SECONDS)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), PROBE_INTERVAL_SECONDS)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), PROBES);
  }
}
