package org.baykeel.gateway.http;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.baykeel.gateway.buffering.HeldBytesLimiter;
import org.baykeel.gateway.buffering.RequestBytesLimiter;
import org.baykeel.gateway.call.CallCoordinator;
import org.baykeel.gateway.call.GatewayContext;
import org.baykeel.gateway.call.GatewayState;
import org.baykeel.gateway.configuration.Backend;
import org.baykeel.gateway.configuration.GatewayConfiguration;
import org.baykeel.gateway.configuration.RequestLimits;
import org.baykeel.gateway.configuration.Route;
import org.baykeel.gateway.configuration.RouteKind;
import org.baykeel.gateway.directory.EngineDirectory;
import org.baykeel.gateway.directory.EngineRecord;
import org.baykeel.gateway.residency.Residency;
import org.baykeel.gateway.storage.StoreHealth;
import org.baykeel.gateway.telemetry.GatewayEvent;
import org.baykeel.gateway.telemetry.GatewayMetrics;
import org.baykeel.gateway.testing.TestingContext;
import org.baykeel.gateway.testing.TestingEventLoop;
import org.baykeel.gateway.testing.TestingStore;
import org.baykeel.gateway.testing.TestingTranslator;
import org.baykeel.gateway.topology.RoundTrips;
import org.baykeel.gateway.topology.Topology;

/** A node on loopback with one route to one engine. */
final class LoopbackGateway implements AutoCloseable {
  private static final long TARGET_LATENCY_MILLIS = 100;
  private static final long EVENT_GAP_MILLIS = 300;
  private static final int MAX_CONNECTIONS = 1_000;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final List<GatewayEvent> events = new CopyOnWriteArrayList<>();
  private final List<String> callLines = new CopyOnWriteArrayList<>();
  private final HeldBytesLimiter held;
  private final RequestBytesLimiter requests;
  private final IngressServer ingress;
  private final int port;

  LoopbackGateway(int enginePort, Route route, RequestLimits limits, HeldBytesLimiter.Bounds bounds)
      throws IOException {
    this(enginePort, route, limits, bounds, MAX_CONNECTIONS);
  }

  /**
   * Starts a node.
   *
   * @param maxConnections the most connections of callers at once
   */
  LoopbackGateway(
      int enginePort,
      Route route,
      RequestLimits limits,
      HeldBytesLimiter.Bounds bounds,
      int maxConnections)
      throws IOException {
    NettyEventLoop eventLoop = new NettyEventLoop(group.next(), (event, fields) -> {});
    held = new HeldBytesLimiter(bounds, eventLoop);
    requests = new RequestBytesLimiter(RequestBytesLimiter.Bounds.DEFAULT, eventLoop);
    StoreHealth health = new StoreHealth();
    health.answered(System.nanoTime());
    EngineDirectory engines = new EngineDirectory(1);
    GatewayState state = new GatewayState(eventLoop, health, engines, (event, fields) -> {});
    state.replaceEngines(
        List.of(new EngineRecord("e", "s", "127.0.0.1", enginePort, "z", 4, false)));
    state.adoptIfNewer(new GatewayConfiguration(1, List.of(route), List.of(), limits));
    TestingStore store = new TestingStore(new TestingEventLoop());
    TestingTranslator translator = new TestingTranslator();
    GatewayContext context =
        new TestingContext(
                eventLoop,
                state,
                engines,
                store,
                health,
                new NettyEngineTransport(
                    group,
                    translator,
                    new GatewayMetrics(),
                    new RoundTrips(Topology.ofOneRegion("z")),
                    this::addCallLine))
            .log(this::addCallLine)
            .build();
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      port = free.getLocalPort();
    }
    CallCoordinator coordinator = new CallCoordinator(context);
    ingress =
        new IngressServer(
            coordinator,
            translator,
            state,
            new CallerLimits(held, requests, maxConnections),
            new GatewayMetrics(),
            eventLoop,
            (event, fields) -> events.add(event));
    ingress.listen(group, new InetSocketAddress("127.0.0.1", port)).syncUninterruptibly();
  }

  /**
   * Returns a route whose requests run at most once at the engine.
   *
   * @param timeoutMillis how long a request is held, in milliseconds
   */
  static Route route(RouteKind kind, long timeoutMillis) {
    return new Route(
        "r",
        "h",
        "/p/",
        kind,
        timeoutMillis,
        TARGET_LATENCY_MILLIS,
        EVENT_GAP_MILLIS,
        0,
        List.of(new Backend("s", 1)),
        1,
        false,
        0,
        false,
        false,
        false,
        Residency.ANY);
  }

  /** Closes idle connections, as a planned stop does. */
  void closeIdle() throws Exception {
    group.next().submit(ingress::closeIdle).get(20, TimeUnit.SECONDS);
  }

  /** Returns the number of requests that a planned stop waits for. */
  long activeCalls() throws Exception {
    return onLoop(ingress::activeCalls);
  }

  /** Returns the port to which callers connect. */
  int port() {
    return port;
  }

  /** Returns the events that the caller-facing server has logged. */
  List<GatewayEvent> events() {
    return events;
  }

  /** Returns the memory of all requests, in bytes. */
  long requestBytes() throws Exception {
    return onLoop(requests::totalBytes);
  }

  /** Returns the bytes held for all callers. */
  long heldBytes() throws Exception {
    return onLoop(held::totalBytes);
  }

  /** Ends the calls in progress, as the end of a planned stop does. */
  void endCalls() throws Exception {
    group.next().submit(() -> ingress.endCalls(System.nanoTime())).get(20, TimeUnit.SECONDS);
  }

  /** Waits until bytes of a response are held for callers. */
  void awaitHeldBytes() throws Exception {
    await("bytes are held for callers", () -> heldBytes() > 0);
  }

  /** Waits until a planned stop would wait for some requests. */
  void awaitActiveCalls(int count) throws Exception {
    await("there are " + count + " active calls", () -> activeCalls() == count);
  }

  private static void await(String what, Callable<Boolean> condition) throws Exception {
    long end = System.nanoTime() + 20_000_000_000L;
    while (!condition.call()) {
      if (System.nanoTime() - end > 0) {
        throw new AssertionError("not after 20 s: " + what);
      }
      Thread.sleep(10);
    }
  }

  private void addCallLine(GatewayEvent event, Object... fields) {
    StringBuilder line = new StringBuilder(event.name());
    for (int i = 0; i + 1 < fields.length; i += 2) {
      line.append(' ').append(fields[i]).append('=').append(fields[i + 1]);
    }
    callLines.add(line.toString());
  }

  /**
   * Waits for lines of one kind about calls and about connections to the engine, and returns them.
   */
  List<String> awaitCallLines(GatewayEvent event, int count) throws Exception {
    await(count + " lines " + event, () -> callLines(event).size() >= count);
    return callLines(event);
  }

  private List<String> callLines(GatewayEvent event) {
    return callLines.stream().filter(line -> line.startsWith(event.name() + ' ')).toList();
  }

  /** Returns the number of calls for which reading from the engine is paused. */
  long paused() throws Exception {
    return onLoop(held::pausedCalls);
  }

  private long onLoop(LongSupplier reading) throws Exception {
    return group.next().submit(reading::getAsLong).get(20, TimeUnit.SECONDS);
  }

  @Override
  public void close() {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
  }
}
