package org.baykeel.gateway.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import jdk.net.ExtendedSocketOptions;

/**
 * Connections that this process opens and keeps. One may fall silent for good without being closed,
 * while new ones work; probes of the operating system find out, so that it is not used again.
 */
public final class KeepAliveBootstrap {
  /** Time without a byte after which the operating system probes, in seconds. */
  private static final int PROBE_AFTER_SECONDS = 1;

  private static final int PROBE_INTERVAL_SECONDS = 1;

  /** Probes without an answer after which the connection counts as closed: 3 s in all. */
  private static final int PROBES = 2;

  private KeepAliveBootstrap() {}

  /**
   * A bootstrap for connections that notice the other end's silence.
   *
   * @param connectTimeoutMillis how long a connection may take to come up
   */
  public static Bootstrap bootstrap(EventLoopGroup group, int connectTimeoutMillis) {
    return new Bootstrap()
        .group(group)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.SO_KEEPALIVE, true)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), PROBE_AFTER_SECONDS)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), PROBE_INTERVAL_SECONDS)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), PROBES);
  }
}
