package org.baykeel.emulator.http;

import static java.util.Objects.requireNonNull;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;

/** A small HTTP server for the stand-ins. */
public final class EmulatorServer {
  /** Answers requests, on a network thread. */
  @FunctionalInterface
  public interface Handler {
    /** Answers one request. */
    void handle(EmulatorExchange exchange);
  }

  private static final int MAXIMUM_BODY_BYTES = 256 * 1024 * 1024;

  private final EventLoopGroup group;
  private final Handler handler;
  private Channel server;

  public EmulatorServer(EventLoopGroup group, Handler handler) {
    this.group = requireNonNull(group, "group");
    this.handler = requireNonNull(handler, "handler");
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

  /** Stops listening. */
  public void close() {
    server.close().syncUninterruptibly();
  }

  private final class Initializer extends ChannelInitializer<SocketChannel> {
    @Override
    protected void initChannel(SocketChannel channel) {
      channel
          .pipeline()
          .addLast(new HttpServerCodec())
          .addLast(new HttpObjectAggregator(MAXIMUM_BODY_BYTES))
          .addLast(new RequestHandler());
    }
  }

  private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
      byte[] body = new byte[request.content().readableBytes()];
      request.content().readBytes(body);
      handler.handle(
          new EmulatorExchange(
              context.channel(),
              request.method().name(),
              request.uri(),
              request.headers().copy(),
              body));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
