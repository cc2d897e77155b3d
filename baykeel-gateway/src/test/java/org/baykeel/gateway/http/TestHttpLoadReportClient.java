package org.baykeel.gateway.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.baykeel.gateway.directory.Engine;
import org.baykeel.gateway.directory.EngineDirectory;
import org.baykeel.gateway.directory.EngineLoad;
import org.baykeel.gateway.directory.EngineRecord;
import org.baykeel.gateway.load.LoadQueryResult;
import org.baykeel.gateway.load.LoadReport;
import org.baykeel.gateway.load.LoadReportFormat;
import org.baykeel.gateway.telemetry.GatewayMetrics;
import org.baykeel.gateway.testing.ScriptedEngine;
import org.baykeel.gateway.testing.ScriptedEngine.After;
import org.baykeel.gateway.testing.ScriptedEngine.Response;
import org.baykeel.gateway.topology.RoundTrips;
import org.baykeel.gateway.topology.Topology;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class TestHttpLoadReportClient {
  private static final long LAG_MILLIS = 200;
  private static final String REPORT = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n7";

  /** Longer than a connection stays open without queries, plus one sweep. */
  private static final long IDLE_MILLIS = 4_500;

  /** A report is one number, the running requests. */
  private static final LoadReportFormat FORMAT =
      new LoadReportFormat() {
        @Override
        public String path() {
          return "/load";
        }

        @Override
        public long lagMillis() {
          return LAG_MILLIS;
        }

        @Override
        public Optional<LoadReport> decode(byte[] body) {
          String text = new String(body, StandardCharsets.US_ASCII);
          return text.chars().allMatch(Character::isDigit)
              ? Optional.of(new LoadReport(new EngineLoad(0, Integer.parseInt(text), 0, 0), 5))
              : Optional.empty();
        }
      };

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final HttpLoadReportClient reports =
      new HttpLoadReportClient(
          group,
          FORMAT,
          new RoundTrips(Topology.ofOneRegion("z")),
          new GatewayMetrics(),
          (event, fields) -> {});

  @AfterEach
  void stop() {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
  }

  private static Engine engineAt(int port) {
    EngineDirectory directory = new EngineDirectory(1);
    directory.put(new EngineRecord("e", "s", "127.0.0.1", port, "z", 4, false));
    return directory.ofService("s").get(0);
  }

  private CompletableFuture<LoadQueryResult> queryAsync(Engine engine) {
    CompletableFuture<LoadQueryResult> result = new CompletableFuture<>();
    group.next().execute(() -> reports.query(engine, result::complete));
    return result;
  }

  private LoadQueryResult queryAndAwait(Engine engine) throws Exception {
    return queryAsync(engine).get(20, TimeUnit.SECONDS);
  }

  @Test
  void reusesOneConnectionForAllQueriesToAnEngine() throws Exception {
    try (ScriptedEngine server = new ScriptedEngine(new Response(REPORT, After.KEEP))) {
      Engine engine = engineAt(server.port());
      for (int i = 0; i < 3; i++) {
        LoadQueryResult.Reported reported =
            assertInstanceOf(LoadQueryResult.Reported.class, queryAndAwait(engine));
        assertEquals(new LoadReport(new EngineLoad(0, 7, 0, 0), 5), reported.report());
        long ageMillis = (System.nanoTime() - reported.asOfNanos()) / 1_000_000;
        assertTrue(ageMillis >= LAG_MILLIS, "age must include the lag of the report: " + ageMillis);
      }
      assertEquals(1, server.connections());
      assertTrue(server.requests().get(0).startsWith("GET /load HTTP/1.1\r\n"));
    }
  }

  @Test
  void closesTheConnectionToAnEngineThatIsNoLongerQueried() throws Exception {
    try (ScriptedEngine server = new ScriptedEngine(new Response(REPORT, After.KEEP))) {
      Engine engine = engineAt(server.port());
      queryAndAwait(engine);
      Thread.sleep(IDLE_MILLIS);
      assertEquals(0, server.open());
      assertInstanceOf(LoadQueryResult.Reported.class, queryAndAwait(engine));
      assertEquals(2, server.connections());
    }
  }

  /**
   * Guards against a late second copy of a report that is taken for the next one, and for all that
   * follow on the connection.
   */
  @Test
  void aReportThatArrivesTwiceIsNotTakenForTheNextOne() throws Exception {
    Response next = new Response(REPORT.replace('7', '8'), After.KEEP);
    try (ScriptedEngine server = new ScriptedEngine(new Response(REPORT, After.REPEAT), next)) {
      Engine engine = engineAt(server.port());
      assertInstanceOf(LoadQueryResult.Reported.class, queryAndAwait(engine));
      assertEquals(new LoadQueryResult.NoResponse("more than one answer"), queryAndAwait(engine));
      LoadQueryResult.Reported reported =
          assertInstanceOf(LoadQueryResult.Reported.class, queryAndAwait(engine));
      assertEquals(new LoadReport(new EngineLoad(0, 8, 0, 0), 5), reported.report());
      assertEquals(2, server.connections());
    }
  }

  @ParameterizedTest(name = "{0}: {1}")
  @CsvSource({
    "404 Not Found, Unavailable[reason=status 404]",
    "403 Forbidden, Unavailable[reason=status 403]",
    "503 Unavailable, NoResponse[reason=status 503]",
  })
  void aFailureStatusYieldsNoReport(String status, String expected) throws Exception {
    String bytes = "HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n";
    try (ScriptedEngine server = new ScriptedEngine(new Response(bytes, After.KEEP))) {
      assertEquals(expected, queryAndAwait(engineAt(server.port())).toString());
    }
  }

  @Test
  void anUnusableBodyYieldsNoReport() throws Exception {
    String bytes = REPORT.replace("7", "x");
    try (ScriptedEngine server = new ScriptedEngine(new Response(bytes, After.KEEP))) {
      assertEquals(
          new LoadQueryResult.Unavailable("response holds no usable report"),
          queryAndAwait(engineAt(server.port())));
    }
  }

  @Test
  void anEngineThatClosesWithoutResponseLosesTheQueryAndCanBeQueriedAgain() throws Exception {
    try (ScriptedEngine server =
        new ScriptedEngine(new Response("", After.CLOSE), new Response(REPORT, After.KEEP))) {
      Engine engine = engineAt(server.port());
      assertInstanceOf(LoadQueryResult.NoResponse.class, queryAndAwait(engine));
      assertInstanceOf(LoadQueryResult.Reported.class, queryAndAwait(engine));
    }
  }

  @Test
  void aSilentEngineIsAbandonedAtTheTimeLimitAndNotQueriedTwice() throws Exception {
    try (ScriptedEngine server = new ScriptedEngine(new Response("", After.KEEP))) {
      Engine engine = engineAt(server.port());
      CompletableFuture<LoadQueryResult> first = queryAsync(engine);
      CompletableFuture<LoadQueryResult> second = queryAsync(engine);
      assertEquals(
          new LoadQueryResult.NoResponse("a query is already in progress"),
          second.get(20, TimeUnit.SECONDS));
      assertEquals(new LoadQueryResult.NoResponse("time-out"), first.get(20, TimeUnit.SECONDS));
      assertEquals(1, server.requests().size());
    }
  }

  @Test
  void anUnreachableEngineLosesTheQuery() throws Exception {
    int port;
    try (ServerSocket closed = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      port = closed.getLocalPort();
    }
    assertInstanceOf(LoadQueryResult.NoResponse.class, queryAndAwait(engineAt(port)));
  }
}
