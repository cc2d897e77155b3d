package org.baykeel.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.IdentityHashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.baykeel.gateway.buffering.EngineBody;
import org.baykeel.gateway.call.EngineRequest;
import org.baykeel.gateway.call.EngineTransport;
import org.baykeel.gateway.directory.Engine;
import org.baykeel.gateway.telemetry.GatewayEvent;
import org.baykeel.gateway.telemetry.GatewayLog;
import org.baykeel.gateway.telemetry.GatewayMetrics;
import org.baykeel.gateway.telemetry.LoopWork;
import org.baykeel.gateway.topology.RoundTrips;

/** Sends requests to engines over pooled connections, one request at a time on each. */
public final class NettyEngineTransport implements EngineTransport {
  private static final int CONNECT_TIMEOUT_MILLIS = 300;
  private static final long SWEEP_MILLIS = 500;
  private static final int MAX_CONNECTIONS_PER_ENGINE = 24;

  private final EventLoopGroup group;
  private final CallTranslator translator;
  private final GatewayMetrics metrics;
  private final RoundTrips roundTrips;
  private final GatewayLog log;
  private final UnrelatedResponseLog unrelatedResponses;

  /** Keyed by incarnation: a connection to an earlier incarnation is not used for a later one. */
  private final Map<Engine, EngineConnectionPool> poolByEngine = new IdentityHashMap<>();

  private long connectionsOpened;

  /**
   * Creates a transport without connections.
   *
   * @param metrics counts the connections that are opened
   * @param roundTrips records the time that connections take to set up
   */
  public NettyEngineTransport(
      EventLoopGroup group,
      CallTranslator translator,
      GatewayMetrics metrics,
      RoundTrips roundTrips,
      GatewayLog log) {
    this.group = group;
    this.translator = translator;
    this.metrics = metrics;
    this.roundTrips = roundTrips;
    this.log = log;
    this.unrelatedResponses = new UnrelatedResponseLog(log);
    group
        .next()
        .scheduleWithFixedDelay(this::sweep, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
  }

  @Override
  public Exchange send(Engine engine, EngineRequest request, Listener listener) {
    EngineConnectionPool pool = poolByEngine.computeIfAbsent(engine, EngineConnectionPool::new);
    PendingExchange exchange =
        new PendingExchange(
            request.source().attributes().requestId(),
            encode(request, engine),
            listener,
            this::onSilence);
    EngineConnection idle = pool.takeIdle(System.nanoTime(), exchange.requestId());
    if (idle != null) {
      idle.send(exchange);
    } else if (pool.open() >= MAX_CONNECTIONS_PER_ENGINE && !pool.closeOldestIdle()) {
      // The listener must not be called before this method has returned the exchange.
      group
          .next()
          .execute(() -> exchange.fail(Failure.NOT_SENT, "connection limit of the engine reached"));
    } else {
      connect(engine, pool, exchange);
    }
    return exchange;
  }

  /** Whether a connection to an engine is established. */
  boolean isConnected(Engine engine) {
    EngineConnectionPool pool = poolByEngine.get(engine);
    return pool != null && pool.connected();
  }

  private void onSilence(EngineConnectionPool pool, long millis) {
    int closed = pool.closeIdle();
    log.write(
        GatewayEvent.CONNECTION_SILENT,
        "kind",
        "engine",
        "address",
        pool.engine().record().id(),
        "ms",
        millis,
        "resting",
        closed);
  }

  private FullHttpRequest encode(EngineRequest request, Engine engine) {
    FullHttpRequest encoded =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.valueOf(request.source().method()),
            request.source().target(),
            content(request.body()));
    encoded.headers().set(translator.engineHeaders(request, engine));
    if (request.body().length() > 0 || !request.source().method().equals("GET")) {
      HttpUtil.setContentLength(encoded, request.body().length());
    }
    return encoded;
  }

  /** Returns a buffer on the parts of a body, which are not copied. */
  private static ByteBuf content(EngineBody body) {
    byte[][] parts = body.parts().toArray(byte[][]::new);
    return Unpooled.wrappedBuffer(parts.length, parts);
  }

  private void connect(Engine engine, EngineConnectionPool pool, PendingExchange exchange) {
    EngineConnection connection =
        new EngineConnection(pool, translator, unrelatedResponses, ++connectionsOpened);
    pool.onOpened();
    metrics.engineConnectionOpened();
    long startNanos = System.nanoTime();
    KeepAliveBootstrap.bootstrap(group, CONNECT_TIMEOUT_MILLIS)
        .handler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                channel
                    .pipeline()
                    .addLast(new TimedReads(metrics.work(), LoopWork.Kind.ENGINES))
                    .addLast(connection.framer())
                    .addLast(ResponseFramer.decoder())
                    .addLast(new HttpRequestEncoder())
                    .addLast(connection);
              }
            })
        .connect(engine.record().host(), engine.record().port())
        .addListener(
            future -> {
              if (future.isSuccess()) {
                recordRoundTrip(engine, startNanos);
              }
              if (!future.isSuccess()) {
                pool.onClosed(connection);
                exchange.fail(Failure.NOT_SENT, "connect failed: " + future.cause().getMessage());
              } else if (exchange.cancelled()) {
                connection.close();
              } else {
                connection.send(exchange);
              }
            });
  }

  private void recordRoundTrip(Engine engine, long startNanos) {
    long now = System.nanoTime();
    roundTrips.observe(engine.record().zone(), (now - startNanos) / 1e6, now);
  }

  private void sweep() {
    long now = System.nanoTime();
    Iterator<EngineConnectionPool> all = poolByEngine.values().iterator();
    while (all.hasNext()) {
      EngineConnectionPool pool = all.next();
      pool.closeExpired(now);
      if (pool.open() == 0 && pool.engine().removed()) {
        all.remove();
      }
    }
  }
}
