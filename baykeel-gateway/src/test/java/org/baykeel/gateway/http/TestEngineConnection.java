package org.baykeel.gateway.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.baykeel.gateway.buffering.EngineBody;
import org.baykeel.gateway.call.CallRequest;
import org.baykeel.gateway.call.EngineRequest;
import org.baykeel.gateway.call.EngineTransport;
import org.baykeel.gateway.call.ResponseHead;
import org.baykeel.gateway.directory.Engine;
import org.baykeel.gateway.directory.EngineDirectory;
import org.baykeel.gateway.directory.EngineRecord;
import org.baykeel.gateway.quarantine.EngineLiveness;
import org.baykeel.gateway.telemetry.GatewayMetrics;
import org.baykeel.gateway.tenancy.Caller;
import org.baykeel.gateway.testing.ScriptedEngine;
import org.baykeel.gateway.testing.ScriptedEngine.After;
import org.baykeel.gateway.testing.ScriptedEngine.Response;
import org.baykeel.gateway.testing.TestingTranslator;
import org.baykeel.gateway.topology.RoundTrips;
import org.baykeel.gateway.topology.Topology;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class TestEngineConnection {
  private static final int MAX_CONNECTIONS = 24;

  /** The time within which a scripted engine responds even on a busy machine. */
  private static final long RESPONSE_MILLIS = 1_000;

  private static final String OWN =
      "HTTP/1.1 200 OK\r\nX-Id: r1\r\nKeep-Alive: timeout=60\r\nContent-Length: 4\r\n\r\nbody";
  private static final String FOREIGN =
      "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 5\r\n\r\nwrong";
  private static final String SECOND = OWN.replace("r1", "r2");

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final NettyEngineTransport transport =
      new NettyEngineTransport(
          group,
          new TestingTranslator(),
          new GatewayMetrics(),
          new RoundTrips(Topology.ofOneRegion("z")),
          (event, fields) -> {});

  @AfterEach
  void stop() {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
  }

  private Engine engineAt(int port) {
    EngineDirectory directory = new EngineDirectory(1);
    directory.put(new EngineRecord("e", "s", "127.0.0.1", port, "z", 4, false));
    return directory.ofService("s").get(0);
  }

  /** Sends a request and returns its outcome: status and body, or the failure. */
  private String sendAndAwait(Engine engine, String id) throws Exception {
    HttpHeaders headers = new DefaultHttpHeaders();
    headers.set("Host", "h");
    headers.set(TestingTranslator.ID, id);
    CallRequest source =
        new CallRequest(
            "POST", "/x", "h", headers, new byte[3], TestingTranslator.attributesOf(id), 0);
    CompletableFuture<String> end = new CompletableFuture<>();
    EngineTransport.Listener listener =
        new EngineTransport.Listener() {
          private final StringBuilder body = new StringBuilder();

          @Override
          public void onHead(ResponseHead head) {
            body.append(head.status()).append(' ');
          }

          @Override
          public void onBody(byte[] bytes) {
            body.append(new String(bytes, StandardCharsets.US_ASCII));
          }

          @Override
          public void onComplete() {
            end.complete(body.toString());
          }

          @Override
          public void onFailure(EngineTransport.Failure failure, String detail) {
            end.complete(failure.name());
          }
        };
    group
        .next()
        .execute(
            () ->
                transport.send(
                    engine,
                    new EngineRequest(
                        source, EngineBody.of(new byte[3]), 1, Caller.WITHOUT_KEYS, -1, -1),
                    listener));
    String result = end.get(20, TimeUnit.SECONDS);
    // The connection returns to the pool after the read that completed the response.
    group.next().submit(() -> {}).get();
    return result;
  }

  @ParameterizedTest(name = "{0}")
  @CsvSource({
    "complete, HTTP/1.1 200 OK|X-Id: r1|Content-Length: 4||body, KEEP, 200 body",
    "chunked, HTTP/1.1 200 OK|X-Id: r1|Transfer-Encoding: chunked||4|body|0||, KEEP, 200 body",
    "truncated in its content length, HTTP/1.1 200 OK|X-Id: r1|Content-Length: 9||body, CLOSE, CONNECTION_LOST",
    "truncated in its chunks, HTTP/1.1 200 OK|X-Id: r1|Transfer-Encoding: chunked||4|body|, CLOSE, CONNECTION_LOST",
    "delimited by the end of the connection, HTTP/1.1 200 OK|X-Id: r1||body, CLOSE, 200 body",
    "without length and reset, HTTP/1.1 200 OK|X-Id: r1||body, RESET, CONNECTION_LOST",
    "no response, '', CLOSE, CONNECTION_LOST",
    "not HTTP, GARBAGE||, CLOSE, BROKEN",
    "after an interim response, HTTP/1.1 100 Continue||HTTP/1.1 200 OK|X-Id: r1|Content-Length: 2||ok, KEEP, 200 ok",
    "after a change of protocol, HTTP/1.1 101 Switching Protocols|X-Id: r1|Upgrade: x|Connection: upgrade||HTTP/1.1 200 OK|X-Id: r1|Content-Length: 2||ok, KEEP, BROKEN",
    "after a response to another request, HTTP/1.1 200 OK|X-Id: zz|Content-Length: 2||noHTTP/1.1 200 OK|X-Id: r1|Content-Length: 2||ok, KEEP, 200 ok",
    "only a response to another request, HTTP/1.1 200 OK|X-Id: zz|Content-Length: 2||no, CLOSE, CONNECTION_LOST",
  })
  void aResponseEndsCompleteOrBroken(String name, String bytes, After after, String outcome)
      throws Exception {
    String wire = bytes.replace("|", "\r\n");
    try (ScriptedEngine engine = new ScriptedEngine(new Response(wire, after))) {
      assertEquals(outcome, sendAndAwait(engineAt(engine.port()), "r1"));
    }
  }

  /**
   * Guards against a late second copy of a response that is taken for the response to the next send
   * of the same request.
   */
  @Test
  void sendsARequestAtMostOnceOnAConnection() throws Exception {
    try (ScriptedEngine engine = new ScriptedEngine(new Response(OWN, After.REPEAT))) {
      Engine target = engineAt(engine.port());
      assertEquals("200 body", sendAndAwait(target, "r1"));
      assertEquals("200 body", sendAndAwait(target, "r1"));
      assertEquals(2, engine.connections());
    }
  }

  /** Guards against a request that is not sent since it was on all connections that may be open. */
  @Test
  void atTheLimitOfConnectionsAnIdleOneMakesWay() throws Exception {
    try (ScriptedEngine engine = new ScriptedEngine(new Response(OWN, After.KEEP))) {
      Engine target = engineAt(engine.port());
      for (int i = 0; i < MAX_CONNECTIONS + 2; i++) {
        assertEquals("200 body", sendAndAwait(target, "r1"));
      }
      assertEquals(MAX_CONNECTIONS + 2, engine.connections());
      engine.awaitOpen(MAX_CONNECTIONS);
    }
  }

  /** Guards against a record of carried requests that grows without bound. */
  @Test
  void replacesAConnectionThatHasCarriedTheMostRequests() throws Exception {
    int requests = CarriedRequests.MAX_REQUESTS;
    Response[] responses =
        IntStream.rangeClosed(0, requests)
            .mapToObj(i -> new Response(OWN.replace("r1", "q" + i), After.KEEP))
            .toArray(Response[]::new);
    try (ScriptedEngine engine = new ScriptedEngine(responses)) {
      Engine target = engineAt(engine.port());
      for (int i = 0; i < requests; i++) {
        assertEquals("200 body", sendAndAwait(target, "q" + i));
      }
      assertEquals(1, engine.connections());
      assertEquals("200 body", sendAndAwait(target, "q" + requests));
      assertEquals(2, engine.connections());
    }
  }

  @Test
  void reusesAConnectionAfterACompleteResponse() throws Exception {
    try (ScriptedEngine engine =
        new ScriptedEngine(new Response(OWN, After.KEEP), new Response(SECOND, After.KEEP))) {
      Engine target = engineAt(engine.port());
      sendAndAwait(target, "r1");
      assertEquals("200 body", sendAndAwait(target, "r2"));
      assertEquals(1, engine.connections());
    }
  }

  @Test
  void discardsAConnectionWithBytesAfterACompleteResponse() throws Exception {
    try (ScriptedEngine engine =
        new ScriptedEngine(
            new Response(OWN + FOREIGN, After.KEEP), new Response(SECOND, After.KEEP))) {
      Engine target = engineAt(engine.port());
      assertEquals("200 body", sendAndAwait(target, "r1"));
      assertEquals("200 body", sendAndAwait(target, "r2"));
    }
  }

  @Test
  void skipsALateResponseToAnotherRequest() throws Exception {
    try (ScriptedEngine engine =
        new ScriptedEngine(
            new Response(OWN, After.KEEP),
            new Response(OWN + SECOND, After.KEEP),
            new Response(OWN.replace("r1", "r3"), After.KEEP))) {
      Engine target = engineAt(engine.port());
      sendAndAwait(target, "r1");
      assertEquals("200 body", sendAndAwait(target, "r2"));
      assertEquals("200 body", sendAndAwait(target, "r3"));
      assertEquals(
          2,
          engine.connections(),
          "a connection with a response to another request must not be reused");
    }
  }

  @Test
  void doesNotReuseAConnectionThatTheEngineWantsClosed() throws Exception {
    String closing = OWN.replace("X-Id", "Connection: close\r\nX-Id");
    try (ScriptedEngine engine =
        new ScriptedEngine(new Response(closing, After.KEEP), new Response(SECOND, After.KEEP))) {
      Engine target = engineAt(engine.port());
      sendAndAwait(target, "r1");
      sendAndAwait(target, "r2");
      assertEquals(2, engine.connections());
    }
  }

  @Test
  void closesConnectionsToAnEarlierIncarnationAndDoesNotReuseThem() throws Exception {
    try (ScriptedEngine engine =
        new ScriptedEngine(
            new Response(OWN, After.KEEP),
            new Response(SECOND, After.KEEP),
            new Response(OWN.replace("r1", "r3"), After.KEEP))) {
      EngineDirectory directory = new EngineDirectory(1);
      directory.put(startedAt(engine.port(), 1_000));
      Engine former = directory.ofService("s").get(0);
      assertEquals("200 body", sendAndAwait(former, "r1"));
      directory.put(startedAt(engine.port(), 2_000));
      Engine present = directory.ofService("s").get(0);
      assertEquals("200 body", sendAndAwait(present, "r2"));
      assertEquals(2, engine.connections());
      engine.awaitOpen(1);
      assertEquals("200 body", sendAndAwait(present, "r3"));
      assertEquals(2, engine.connections());
    }
  }

  private static EngineRecord startedAt(int port, long startMillis) {
    return new EngineRecord("e", "s", "127.0.0.1", port, "z", 4, false, 0, startMillis);
  }

  @Test
  void reportsNotSentIfTheConnectionIsRefused() throws Exception {
    int port;
    try (ScriptedEngine engine = new ScriptedEngine(new Response(OWN, After.KEEP))) {
      port = engine.port();
    }
    assertEquals("NOT_SENT", sendAndAwait(engineAt(port), "r1"));
  }

  private EngineLiveness liveness(Engine engine) throws Exception {
    CompletableFuture<EngineLiveness> liveness = new CompletableFuture<>();
    group.next().execute(() -> livenessCheck().check(engine, liveness::complete));
    return liveness.get(20, TimeUnit.SECONDS);
  }

  /** Returns what an engine responds that has more time than for a check. */
  private EngineLiveness livenessAsked(Engine engine) throws Exception {
    CompletableFuture<EngineLiveness> liveness = new CompletableFuture<>();
    group.next().execute(() -> livenessCheck().ask(engine, liveness::complete));
    return liveness.get(20, TimeUnit.SECONDS);
  }

  private ConnectingLivenessCheck livenessCheck() {
    return new ConnectingLivenessCheck(
        group, transport, new TestingTranslator(), new GatewayMetrics(), RESPONSE_MILLIS);
  }

  @ParameterizedTest
  @CsvSource({"KEEP, RUNNING", "CLOSE, RUNNING", "RESET, RUNNING"})
  void engineThatRespondsHasNotEnded(After after, EngineLiveness liveness) throws Exception {
    requireLivenessAfter(after, new Response(OWN.replace("r1", "e"), After.KEEP), liveness);
  }

  /** Guards against an accepted or open connection that is taken for a proof. */
  @ParameterizedTest
  @CsvSource({"KEEP, KEEP, CONNECTED", "CLOSE, KEEP, ACCEPTING", "KEEP, CLOSE, CONNECTED"})
  void engineThatDoesNotRespondIsNotFoundToRun(
      After after, After afterQuestion, EngineLiveness liveness) throws Exception {
    requireLivenessAfter(after, new Response("", afterQuestion), liveness);
  }

  private void requireLivenessAfter(After after, Response second, EngineLiveness liveness)
      throws Exception {
    try (ScriptedEngine scripted = new ScriptedEngine(new Response(OWN, after), second)) {
      Engine engine = engineAt(scripted.port());
      sendAndAwait(engine, "r1");
      scripted.awaitOpen(after == After.KEEP ? 1 : 0);
      group.next().submit(() -> {}).get();
      assertEquals(liveness, liveness(engine));
    }
  }

  /**
   * An engine that is started again at once accepts connections at the address of the ended one.
   */
  @ParameterizedTest
  @CsvSource({"e, RUNNING", "e2, ENDED"})
  void engineAtAddressTellsWhichOneItIs(String id, EngineLiveness liveness) throws Exception {
    Response identity = new Response(OWN.replace("r1", id), After.KEEP);
    try (ScriptedEngine scripted = new ScriptedEngine(identity)) {
      assertEquals(liveness, liveness(engineAt(scripted.port())));
    }
  }

  /**
   * Guards against a response that is cut or not valid, or an interim one, that is taken for a
   * proof that the same engine runs.
   */
  @ParameterizedTest(name = "{0}")
  @CsvSource({
    "cut in the status line, HTTP/1.1 2, CLOSE, CLOSING",
    "cut after the status line, HTTP/1.1 200 OK|, CLOSE, CLOSING",
    "cut in the name of the engine, HTTP/1.1 200 OK|X-Id: e, CLOSE, CLOSING",
    "cut before the empty line, HTTP/1.1 200 OK|X-Id: e|, CLOSE, CLOSING",
    "not valid, nonsense||, KEEP, ACCEPTING",
    "a blank in the name of a field, HTTP/1.1 200 OK|X-Id z: e2||, KEEP, ACCEPTING",
    "status out of range, HTTP/1.1 999 OK|X-Id: e2||, KEEP, ACCEPTING",
    "status zero, HTTP/1.1 000 OK|X-Id: e||, KEEP, ACCEPTING",
    "interim only, HTTP/1.1 100 Continue||, KEEP, ACCEPTING",
    "interim only and closed, HTTP/1.1 100 Continue||, CLOSE, CLOSING",
    "interim and own, HTTP/1.1 100 Continue||HTTP/1.1 200 OK|X-Id: e||, KEEP, RUNNING",
    "interim and other, HTTP/1.1 100 Continue||HTTP/1.1 200 OK|X-Id: e2||, KEEP, ENDED",
    "own and a second one, HTTP/1.1 200 OK|X-Id: e|Content-Length: 0||HTTP/1.1 200 OK|X-Id: e2||, KEEP, RUNNING",
  })
  void onlyACompleteHeadTellsWhichEngineResponds(
      String name, String bytes, After after, EngineLiveness liveness) throws Exception {
    Response response = new Response(bytes.replace("|", "\r\n"), after);
    try (ScriptedEngine scripted = new ScriptedEngine(response)) {
      assertEquals(liveness, livenessAsked(engineAt(scripted.port())));
    }
  }

  @Test
  void engineThatClosesEachConnectionIsUnknown() throws Exception {
    try (ScriptedEngine scripted = new ScriptedEngine(new Response("", After.CLOSE))) {
      assertEquals(EngineLiveness.CLOSING, liveness(engineAt(scripted.port())));
      assertEquals(4, scripted.connections());
    }
  }

  @Test
  void engineThatRefusesConnectionsHasEnded() throws Exception {
    ScriptedEngine scripted = new ScriptedEngine(new Response(OWN, After.KEEP));
    Engine engine = engineAt(scripted.port());
    sendAndAwait(engine, "r1");
    scripted.close();
    assertEquals(EngineLiveness.ENDED, liveness(engine));
  }
}
