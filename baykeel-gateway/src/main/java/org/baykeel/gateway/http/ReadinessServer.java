package org.baykeel.gateway.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.baykeel.gateway.buffering.RequestBytesLimiter;
import org.baykeel.gateway.runtime.EventLoop;
import org.baykeel.gateway.telemetry.GatewayMetrics;

/**
 * Serves the metrics at {@value #METRICS_PATH}. Any other request gets status 200 while the node is
 * ready for callers, otherwise 503. Connections that are idle for {@value #IDLE_SECONDS} s are
 * closed.
 */
public final class ReadinessServer {
  private static final int MAX_REQUEST_BYTES = 16_384;
  private static final int MAX_HEAD_BYTES = 8_192;

  /** The memory for all incomplete requests. */
  private static final long MAX_MEMORY_BYTES = 1 << 20;

  /** Beyond this, the connection that was accepted first is closed. */
  static final int MAX_CONNECTIONS = 64;

  private static final int IDLE_SECONDS = 15;

  static final String METRICS_PATH = "/metrics";

  private final BooleanSupplier ready;
  private final GatewayMetrics metrics;
  private final RequestBytesLimiter memory;
  private final Set<SocketChannel> connections = new LinkedHashSet<>();

  /**
   * Creates a server that does not listen yet.
   *
   * @param eventLoop the clock
   */
  public ReadinessServer(BooleanSupplier ready, GatewayMetrics metrics, EventLoop eventLoop) {
    this.ready = ready;
    this.metrics = metrics;
    this.memory =
        new RequestBytesLimiter(new RequestBytesLimiter.Bounds(MAX_MEMORY_BYTES), eventLoop);
  }

  /**
   * Starts to listen; may be called on the event loop.
   *
   * @return completes when the address is bound, or fails if it cannot be
   */
  public ChannelFuture listen(EventLoopGroup group, InetSocketAddress address) {
    return new ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childHandler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                accept(channel);
              }
            })
        .bind(address);
  }

  private void accept(SocketChannel channel) {
    if (connections.size() >= MAX_CONNECTIONS) {
      connections.iterator().next().close();
    }
    connections.add(channel);
    RequestBytesLimiter.Request held = memory.open(channel::close);
    channel
        .closeFuture()
        .addListener(
            closed -> {
              connections.remove(channel);
              held.close();
            });
    RequestFramer framer =
        new RequestFramer(MAX_HEAD_BYTES, held, IngressServer.RECEIVE_BUFFER_BYTES);
    channel
        .pipeline()
        .addLast(new ReadTimeoutHandler(IDLE_SECONDS))
        .addLast(framer)
        .addLast(new HttpServerCodec())
        .addLast(new HttpObjectAggregator(MAX_REQUEST_BYTES))
        .addLast(new Handler(framer, held));
  }

  /** Serves one connection. */
  private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private final RequestFramer framer;
    private final RequestBytesLimiter.Request held;

    Handler(RequestFramer framer, RequestBytesLimiter.Request held) {
      this.framer = framer;
      this.held = held;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
      boolean metricsRequested = request.uri().equals(METRICS_PATH);
      boolean isReady = ready.getAsBoolean();
      byte[] text = metricsRequested ? metrics.render() : readiness(isReady);
      FullHttpResponse response =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1,
              isReady || metricsRequested
                  ? HttpResponseStatus.OK
                  : HttpResponseStatus.SERVICE_UNAVAILABLE,
              Unpooled.wrappedBuffer(text));
      HttpUtil.setContentLength(response, text.length);
      boolean keep = HttpUtil.isKeepAlive(request);
      HttpUtil.setKeepAlive(response, keep);
      var future = context.writeAndFlush(response);
      if (!keep) {
        future.addListener(ChannelFutureListener.CLOSE);
        framer.stop();
      }
      held.end();
      framer.next();
    }

    private static byte[] readiness(boolean isReady) {
      return (isReady ? "ready\n" : "not ready\n").getBytes(StandardCharsets.US_ASCII);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
