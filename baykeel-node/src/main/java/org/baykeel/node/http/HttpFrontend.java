package org.baykeel.node.http;

import static java.util.Objects.requireNonNull;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.handler.timeout.WriteTimeoutHandler;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import org.baykeel.node.settings.ProcessSettings.InputLimits;

/** The HTTP server for callers and operators, on Netty's codec, with limits on every input. */
public final class HttpFrontend {
  private static final int MAXIMUM_LINE_BYTES = 4_096;
  private static final int MAXIMUM_CHUNK_BYTES = 65_536;

  private final EventLoopGroup group;
  private final InputLimits limits;
  private final ConnectionLimiter limiter;
  private final RequestRouter router;
  private Channel server;

  public HttpFrontend(
      EventLoopGroup group,
      InputLimits limits,
      NodeAccess node,
      PendingReplies replies,
      String operatorKeySha256) {
    this.group = requireNonNull(group, "group");
    this.limits = requireNonNull(limits, "limits");
    this.limiter = new ConnectionLimiter(limits.maximumConnections());
    this.router =
        new RequestRouter(
            node, new CallerApi(node, replies), new OperatorApi(node, operatorKeySha256));
  }

  /** Listens; returns the port, which the system chooses if 0 is asked for. */
  public int listen(String host, int port) {
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(new Initializer());
    server = bootstrap.bind(host, port).syncUninterruptibly().channel();
    return ((InetSocketAddress) server.localAddress()).getPort();
  }

  /** Number of open connections. */
  public int openConnections() {
    return limiter.open();
  }

  /** Stops listening. */
  public void close() {
    if (server != null) {
      server.close().syncUninterruptibly();
    }
  }

  private final class Initializer extends ChannelInitializer<SocketChannel> {
    @Override
    protected void initChannel(SocketChannel channel) {
      if (!limiter.tryAcquire()) {
        channel.close();
        return;
      }
      channel.closeFuture().addListener(closed -> limiter.release());
      channel
          .pipeline()
          .addLast(new IdleStateHandler(0, 0, limits.idleMillis(), TimeUnit.MILLISECONDS))
          .addLast(new WriteTimeoutHandler(limits.requestMillis(), TimeUnit.MILLISECONDS))
          .addLast(
              new HttpServerCodec(
                  MAXIMUM_LINE_BYTES, limits.maximumHeaderBytes(), MAXIMUM_CHUNK_BYTES))
          .addLast(new RequestTimeout(limits.requestMillis()))
          .addLast(new BodyAggregator(limits.maximumBodyBytes()))
          .addLast(new ConnectionHandler(router));
    }
  }
}
