package org.baykeel.gateway.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.baykeel.gateway.budget.GrantTransfer;
import org.baykeel.gateway.buffering.EngineBody;
import org.baykeel.gateway.call.CallRequest;
import org.baykeel.gateway.call.EngineRequest;
import org.baykeel.gateway.call.EngineTransport;
import org.baykeel.gateway.call.ResponseHead;
import org.baykeel.gateway.directory.Engine;
import org.baykeel.gateway.directory.EngineDirectory;
import org.baykeel.gateway.directory.EngineRecord;
import org.baykeel.gateway.history.StoredTurn;
import org.baykeel.gateway.link.LinkClient;
import org.baykeel.gateway.link.LinkServer;
import org.baykeel.gateway.link.LinkServices;
import org.baykeel.gateway.peer.PeerAddress;
import org.baykeel.gateway.peer.PeerLatency;
import org.baykeel.gateway.program.ProgramId;
import org.baykeel.gateway.remote.StoreCall;
import org.baykeel.gateway.remote.StoreReply;
import org.baykeel.gateway.telemetry.GatewayEvent;
import org.baykeel.gateway.telemetry.GatewayMetrics;
import org.baykeel.gateway.tenancy.Caller;
import org.baykeel.gateway.testing.ScriptedEngine;
import org.baykeel.gateway.testing.SilencingProxy;
import org.baykeel.gateway.testing.TestingTranslator;
import org.baykeel.gateway.topology.RoundTrips;
import org.baykeel.gateway.topology.Topology;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against the reuse of dead connections. A proxy stops forwarding on the connections that
 * are open, without closing them, while new connections work.
 */
class TestSilentConnections {
  private static final ScriptedEngine.Response RESPONSE =
      new ScriptedEngine.Response(
          "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=60\r\nContent-Length: 2\r\n\r\nok",
          ScriptedEngine.After.KEEP);
  private static final long SILENT_MILLIS = 700;
  private static final long RESPONSE_MILLIS = 150;
  private static final long LIMIT_MILLIS = 400;
  private static final long BUSY_MILLIS = 1_000;
  private static final GrantTransfer TRANSFER = new GrantTransfer(500, 2_000, 17, 99);

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final List<GatewayEvent> events = new CopyOnWriteArrayList<>();

  @AfterEach
  void stop() {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
  }

  /** A request that was sent to an engine. */
  private static final class Sent implements EngineTransport.Listener {
    private final CompletableFuture<String> end = new CompletableFuture<>();
    private final CompletableFuture<EngineTransport.Exchange> exchange = new CompletableFuture<>();

    @Override
    public void onHead(ResponseHead head) {}

    @Override
    public void onBody(byte[] bytes) {}

    @Override
    public void onComplete() {
      end.complete("whole");
    }

    @Override
    public void onFailure(EngineTransport.Failure failure, String detail) {
      end.complete(failure.name());
    }

    String outcome() throws Exception {
      return end.get(20, TimeUnit.SECONDS);
    }
  }

  private Sent send(EngineTransport transport, Engine engine, String id) {
    HttpHeaders headers = new DefaultHttpHeaders();
    headers.set("Host", "h");
    headers.set(TestingTranslator.ID, id);
    CallRequest source =
        new CallRequest(
            "POST", "/x", "h", headers, new byte[3], TestingTranslator.attributesOf(id), 0);
    EngineRequest request =
        new EngineRequest(source, EngineBody.of(new byte[3]), 1, Caller.WITHOUT_KEYS, -1, -1);
    Sent sent = new Sent();
    group.next().execute(() -> sent.exchange.complete(transport.send(engine, request, sent)));
    return sent;
  }

  /** Returns a response that names the request with the given head. */
  private static ScriptedEngine.Response responseNaming(String head) {
    String id =
        head.lines()
            .filter(line -> line.startsWith(TestingTranslator.ID))
            .findFirst()
            .orElseThrow();
    return new ScriptedEngine.Response(
        RESPONSE.bytes().replace("Keep-Alive", id + "\r\nKeep-Alive"), RESPONSE.after());
  }

  @Test
  void closesTheIdleConnectionsToAnEngineAfterOneStayedSilent() throws Exception {
    try (ScriptedEngine server = new ScriptedEngine(TestSilentConnections::responseNaming);
        SilencingProxy proxy = new SilencingProxy(server.port())) {
      EngineDirectory directory = new EngineDirectory(1);
      directory.put(new EngineRecord("e", "s", "127.0.0.1", proxy.port(), "z", 4, false));
      Engine engine = directory.ofService("s").get(0);
      EngineTransport transport =
          new NettyEngineTransport(
              group,
              new TestingTranslator(),
              new GatewayMetrics(),
              new RoundTrips(Topology.ofOneRegion("z")),
              (event, fields) -> events.add(event));
      Sent first = send(transport, engine, "r1");
      Sent second = send(transport, engine, "r2");
      assertEquals("whole whole", first.outcome() + ' ' + second.outcome());
      assertEquals(2, proxy.connections());
      proxy.silence();
      Sent lost = send(transport, engine, "r3");
      Thread.sleep(SILENT_MILLIS);
      group.next().submit(() -> lost.exchange.join().cancel()).get();
      assertEquals("whole", send(transport, engine, "r4").outcome());
      assertEquals(3, proxy.connections());
      assertEquals(List.of(GatewayEvent.CONNECTION_SILENT), events);
    }
  }

  private StoreReply call(PooledHttpClient storeClient, long timeoutMillis) throws Exception {
    return callAsync(storeClient, timeoutMillis).get(20, TimeUnit.SECONDS);
  }

  private CompletableFuture<StoreReply> callAsync(
      PooledHttpClient storeClient, long timeoutMillis) {
    CompletableFuture<StoreReply> reply = new CompletableFuture<>();
    StoreCall call = new StoreCall(StoreCall.Method.GET, "/x", null, timeoutMillis, false);
    group.next().execute(() -> storeClient.call(call, reply::complete));
    return reply;
  }

  @Test
  void closesTheIdleConnectionsToTheStoreAfterOneStayedSilent() throws Exception {
    try (ScriptedEngine server = new ScriptedEngine(RESPONSE);
        SilencingProxy proxy = new SilencingProxy(server.port())) {
      PooledHttpClient storeClient =
          new PooledHttpClient(
              group,
              new InetSocketAddress("127.0.0.1", proxy.port()),
              (event, fields) -> events.add(event));
      CompletableFuture<StoreReply> first = callAsync(storeClient, 5_000);
      CompletableFuture<StoreReply> second = callAsync(storeClient, 5_000);
      assertInstanceOf(StoreReply.Answered.class, first.get(20, TimeUnit.SECONDS));
      assertInstanceOf(StoreReply.Answered.class, second.get(20, TimeUnit.SECONDS));
      proxy.silence();
      assertInstanceOf(StoreReply.Lost.class, call(storeClient, 300));
      assertInstanceOf(StoreReply.Answered.class, call(storeClient, 5_000));
      assertEquals(List.of(GatewayEvent.CONNECTION_SILENT), events);
    }
  }

  /**
   * Guards against responses that count as missing because the event loop itself was late: they had
   * arrived when it found that the time had passed, while it handled another response.
   */
  @Test
  void aResponseThatABusyEventLoopHasNotReadIsNotMissing() throws Exception {
    try (ScriptedEngine fast = new ScriptedEngine(RESPONSE);
        ScriptedEngine slow = new ScriptedEngine(head -> after(RESPONSE_MILLIS))) {
      CompletableFuture<StoreReply> awaited = callAsync(clientOf(slow), LIMIT_MILLIS);
      CompletableFuture<Void> busy = new CompletableFuture<>();
      StoreCall call = new StoreCall(StoreCall.Method.GET, "/x", null, 5_000, false);
      PooledHttpClient other = clientOf(fast);
      group
          .next()
          .execute(
              () ->
                  other.call(
                      call,
                      reply -> {
                        sleep(BUSY_MILLIS);
                        busy.complete(null);
                      }));
      busy.get(20, TimeUnit.SECONDS);
      assertInstanceOf(StoreReply.Answered.class, awaited.get(20, TimeUnit.SECONDS));
      assertEquals(List.of(), events);
    }
  }

  private PooledHttpClient clientOf(ScriptedEngine server) {
    return new PooledHttpClient(
        group,
        new InetSocketAddress("127.0.0.1", server.port()),
        (event, fields) -> events.add(event));
  }

  private static ScriptedEngine.Response after(long millis) {
    sleep(millis);
    return RESPONSE;
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException interrupted) {
      throw new IllegalStateException(interrupted);
    }
  }

  private static final LinkServices SERVICES =
      new LinkServices() {
        @Override
        public void callStore(StoreCall call, Consumer<StoreReply> callback) {
          callback.accept(new StoreReply.Answered(200, new byte[0]));
        }

        @Override
        public Optional<GrantTransfer> releaseGrant(ProgramId program) {
          return Optional.of(TRANSFER);
        }

        @Override
        public List<StoredTurn> turnsInMemory(String turnId) {
          return List.of();
        }
      };

  private Optional<GrantTransfer> grant(LinkClient client, PeerAddress peer) throws Exception {
    CompletableFuture<Optional<GrantTransfer>> grant = new CompletableFuture<>();
    ProgramId program = new ProgramId("p");
    group.next().execute(() -> client.requestGrant(peer, program, grant::complete));
    return grant.get(20, TimeUnit.SECONDS);
  }

  @Test
  void replacesASilentConnectionToAPeer() throws Exception {
    InetSocketAddress any = new InetSocketAddress("127.0.0.1", 0);
    var bound = new LinkServer(SERVICES).listen(group, any).syncUninterruptibly();
    int port = ((InetSocketAddress) bound.channel().localAddress()).getPort();
    // Long enough for a response on a busy machine.
    PeerLatency latency = peer -> 1_000;
    LinkClient client = new LinkClient(group, latency, (event, fields) -> events.add(event));
    try (SilencingProxy proxy = new SilencingProxy(port)) {
      PeerAddress peer = new PeerAddress("127.0.0.1", proxy.port());
      assertTrue(grant(client, peer).isPresent());
      proxy.silence();
      assertTrue(grant(client, peer).isEmpty());
      assertTrue(grant(client, peer).isPresent());
      assertEquals(2, proxy.connections());
      assertEquals(List.of(GatewayEvent.CONNECTION_SILENT), events);
    }
  }
}
