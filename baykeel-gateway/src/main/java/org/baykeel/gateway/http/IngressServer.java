package org.baykeel.gateway.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.baykeel.gateway.buffering.HeldBytesLimiter;
import org.baykeel.gateway.call.CallCoordinator;
import org.baykeel.gateway.call.GatewayState;
import org.baykeel.gateway.call.GracefulStop;
import org.baykeel.gateway.configuration.GatewayConfiguration;
import org.baykeel.gateway.configuration.RequestLimits;
import org.baykeel.gateway.telemetry.GatewayLog;
import org.baykeel.gateway.telemetry.LoggedTask;

/** Accepts the connections of callers and closes those that are idle or stalled for too long. */
public final class IngressServer implements GracefulStop.CallerConnections {
  private static final long SWEEP_MILLIS = 500;
  private static final int BACKLOG = 1_024;
  private static final int MAX_CHUNK_BYTES = 65_536;
  private static final int MAX_CUT_LINES = 32;

  /**
   * The bytes added to the configured limit in the decoder, which limits the request line and the
   * header fields separately, whereas the configured limit is for both together.
   */
  private static final int EXTRA_HEADER_BYTES = 512;

  private final CallCoordinator coordinator;
  private final CallTranslator translator;
  private final GatewayState state;
  private final HeldBytesLimiter held;
  private final GatewayLog log;
  private final Set<IngressConnection> connections = new LinkedHashSet<>();
  private Channel listener;
  private boolean closing;

  /**
   * Creates a server that does not listen yet.
   *
   * @param held limits the bytes held for callers
   */
  public IngressServer(
      CallCoordinator coordinator,
      CallTranslator translator,
      GatewayState state,
      HeldBytesLimiter held,
      GatewayLog log) {
    this.coordinator = coordinator;
    this.translator = translator;
    this.state = state;
    this.held = held;
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
            .childOption(ChannelOption.TCP_NODELAY, true)
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
    int headerBytes = limits().maxHeaderBytes() + EXTRA_HEADER_BYTES;
    HttpDecoderConfig config =
        new HttpDecoderConfig()
            .setMaxInitialLineLength(headerBytes)
            .setMaxHeaderSize(headerBytes)
            .setMaxChunkSize(MAX_CHUNK_BYTES);
    IngressConnection connection = new IngressConnection(this, coordinator, translator, state, log);
    connections.add(connection);
    channel
        .pipeline()
        .addLast(new StrictRequestDecoder(config))
        .addLast(new HttpResponseEncoder())
        .addLast(connection);
  }

  RequestLimits limits() {
    GatewayConfiguration configuration = state.configuration();
    return configuration == null ? RequestLimits.DEFAULT : configuration.limits();
  }

  HeldBytesLimiter held() {
    return held;
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
    held.sweep();
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
