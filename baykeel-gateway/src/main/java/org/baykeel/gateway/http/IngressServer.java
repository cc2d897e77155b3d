package org.baykeel.gateway.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.baykeel.gateway.buffering.HeldBytesLimiter;
import org.baykeel.gateway.buffering.RequestBytesLimiter;
import org.baykeel.gateway.call.CallCoordinator;
import org.baykeel.gateway.call.GatewayState;
import org.baykeel.gateway.call.GracefulStop;
import org.baykeel.gateway.configuration.GatewayConfiguration;
import org.baykeel.gateway.configuration.RequestLimits;
import org.baykeel.gateway.runtime.EventLoop;
import org.baykeel.gateway.telemetry.GatewayLog;
import org.baykeel.gateway.telemetry.GatewayMetrics;
import org.baykeel.gateway.telemetry.GatewayMetrics.RequestRejection;
import org.baykeel.gateway.telemetry.LoggedTask;
import org.baykeel.gateway.telemetry.LoopWork;

/** Accepts the connections of callers and closes those that are idle or stalled for too long. */
public final class IngressServer implements GracefulStop.CallerConnections {
  /** The time between two sweeps of the connections. */
  static final long SWEEP_MILLIS = 500;

  /**
   * The receive buffer of a caller's connection. The operating system counts what it holds towards
   * the memory of the machine.
   */
  static final int RECEIVE_BUFFER_BYTES = 256 << 10;

  /**
   * The most reads of a connection before the others are read. More would let callers that send
   * fast hold up all others on the event loop.
   */
  private static final int MAX_READS = 4;

  private static final int BACKLOG = 1_024;
  private static final int MAX_CHUNK_BYTES = 65_536;
  private static final int MAX_CUT_LINES = 32;

  /** The bytes added to the configured limit, which does not count line ends. */
  private static final int EXTRA_HEADER_BYTES = 512;

  private final CallCoordinator coordinator;
  private final CallTranslator translator;
  private final GatewayState state;
  private final CallerLimits callerLimits;
  private final LoopWork work;
  private final RejectionLog rejections;
  private final GatewayLog log;
  private final Set<IngressConnection> connections = new LinkedHashSet<>();
  private Channel listener;
  private boolean closing;

  /**
   * Creates a server that does not listen yet.
   *
   * @param callerLimits limits what all callers use together
   * @param metrics counts what is rejected
   * @param eventLoop the clock
   */
  public IngressServer(
      CallCoordinator coordinator,
      CallTranslator translator,
      GatewayState state,
      CallerLimits callerLimits,
      GatewayMetrics metrics,
      EventLoop eventLoop,
      GatewayLog log) {
    this.coordinator = coordinator;
    this.translator = translator;
    this.state = state;
    this.callerLimits = callerLimits;
    this.work = metrics.work();
    this.rejections = new RejectionLog(metrics, eventLoop, log);
    this.log = log;
  }

  /**
   * Starts to listen; may be called on the event loop.
   *
   * @return completes when the address is bound, or fails if it cannot be
   */
  public ChannelFuture listen(EventLoopGroup group, InetSocketAddress address) {
    ChannelFuture bound =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(ChannelOption.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(
                ChannelOption.RECVBUF_ALLOCATOR,
                new AdaptiveRecvByteBufAllocator().maxMessagesPerRead(MAX_READS))
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    accept(channel);
                  }
                })
            .bind(address);
    listener = bound.channel();
    group
        .next()
        .scheduleWithFixedDelay(
            new LoggedTask("sweep of connections", this::sweep, log),
            SWEEP_MILLIS,
            SWEEP_MILLIS,
            TimeUnit.MILLISECONDS);
    return bound;
  }

  private void accept(SocketChannel channel) {
    if (connections.size() >= callerLimits.maxConnections() && !closeIdleConnection()) {
      rejections.rejected(RequestRejection.TOO_MANY_CONNECTIONS, 0, "all connections are in use");
      channel.close();
      return;
    }
    int headBytes = maxHeadBytes();
    HttpDecoderConfig config =
        new HttpDecoderConfig()
            .setMaxInitialLineLength(headBytes)
            .setMaxHeaderSize(headBytes)
            .setMaxChunkSize(MAX_CHUNK_BYTES)
            .setValidateHeaders(false);
    IngressConnection connection = new IngressConnection(this, coordinator, translator, state, log);
    connections.add(connection);
    channel
        .pipeline()
        .addLast(new TimedReads(work, LoopWork.Kind.CALLERS))
        .addLast(connection.framer())
        .addLast(new HttpRequestDecoder(config))
        .addLast(new HttpResponseEncoder())
        .addLast(connection);
  }

  /** Closes the connection that was accepted first among those that are idle, if there is one. */
  private boolean closeIdleConnection() {
    for (IngressConnection connection : connections) {
      if (connection.idle()) {
        connections.remove(connection);
        rejections.rejected(RequestRejection.TOO_MANY_CONNECTIONS, 0, "idle connection closed");
        connection.closeForAnother();
        return true;
      }
    }
    return false;
  }

  /** The limit of a request line with its fields, in bytes. */
  int maxHeadBytes() {
    return limits().maxHeaderBytes() + EXTRA_HEADER_BYTES;
  }

  RequestLimits limits() {
    GatewayConfiguration configuration = state.configuration();
    return configuration == null ? RequestLimits.DEFAULT : configuration.limits();
  }

  HeldBytesLimiter held() {
    return callerLimits.responses();
  }

  RequestBytesLimiter requests() {
    return callerLimits.requests();
  }

  RejectionLog rejections() {
    return rejections;
  }

  /** Whether connections are closed as soon as they are idle between two requests. */
  boolean closing() {
    return closing;
  }

  void closed(IngressConnection connection) {
    connections.remove(connection);
  }

  private void sweep() {
    long now = System.nanoTime();
    RequestLimits limits = limits();
    for (IngressConnection connection : new ArrayList<>(connections)) {
      connection.closeIfStalled(now, limits);
    }
    held().sweep();
    rejections.startWindow();
  }

  @Override
  public int activeCalls() {
    int active = 0;
    for (IngressConnection connection : connections) {
      if (connection.active()) {
        active++;
      }
    }
    return active;
  }

  @Override
  public void closeIdle() {
    closing = true;
    listener.close();
    for (IngressConnection connection : new ArrayList<>(connections)) {
      connection.closeIfIdle();
    }
  }

  @Override
  public void endCalls(long stopNanos) {
    int ended = 0;
    for (IngressConnection connection : new ArrayList<>(connections)) {
      if (connection.active()) {
        if (ended++ < MAX_CUT_LINES) {
          connection.logCall(stopNanos);
        }
        connection.endForStop();
      }
    }
  }
}
