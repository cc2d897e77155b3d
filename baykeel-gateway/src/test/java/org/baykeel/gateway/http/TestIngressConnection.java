package org.baykeel.gateway.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.baykeel.gateway.budget.GrantIds;
import org.baykeel.gateway.budget.ProgramBudgets;
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
import org.baykeel.gateway.history.TurnHistory;
import org.baykeel.gateway.scheduling.BackendChooser;
import org.baykeel.gateway.scheduling.CongestionMonitor;
import org.baykeel.gateway.scheduling.EngineSelector;
import org.baykeel.gateway.storage.StoreHealth;
import org.baykeel.gateway.telemetry.GatewayMetrics;
import org.baykeel.gateway.testing.ScriptedEngine;
import org.baykeel.gateway.testing.ScriptedEngine.After;
import org.baykeel.gateway.testing.ScriptedEngine.Answer;
import org.baykeel.gateway.testing.TestingEventLoop;
import org.baykeel.gateway.testing.TestingStore;
import org.baykeel.gateway.testing.TestingTranslator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Callers' bytes against a whole node on loopback, before a scripted engine. */
class TestIngressConnection {
  private static final String ANSWER =
      "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Signed: s\r\nContent-Length: 4\r\n\r\nbody";
  private static final RequestLimits LIMITS = new RequestLimits(2_000, 100, 3_000, 15_000);

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private ScriptedEngine engine;
  private int port;

  @BeforeEach
  void start() throws IOException {
    engine = new ScriptedEngine(new Answer(ANSWER, After.KEEP));
    NettyEventLoop eventLoop = new NettyEventLoop(group.next());
    StoreHealth health = new StoreHealth();
    health.answered(System.nanoTime());
    EngineDirectory engines = new EngineDirectory(1);
    engines.put(new EngineRecord("e", "s", "127.0.0.1", engine.port(), "z", 4, false));
    GatewayState state = new GatewayState(eventLoop, health, engines, (event, fields) -> {});
    state.replaceEngines(
        List.of(new EngineRecord("e", "s", "127.0.0.1", engine.port(), "z", 4, false)));
    Route route =
        new Route(
            "r",
            "h",
            "/p/",
            RouteKind.UNSAFE,
            2_000,
            100,
            0,
            List.of(new Backend("s", 1)),
            1,
            false,
            0,
            false,
            false);
    state.offer(new GatewayConfiguration(1, List.of(route), List.of(), LIMITS));
    TestingStore store = new TestingStore(new TestingEventLoop());
    TestingTranslator translator = new TestingTranslator();
    GatewayContext context =
        new GatewayContext(
            eventLoop,
            state,
            new EngineSelector(engines, "z"),
            new BackendChooser(),
            new CongestionMonitor(new Random(1)),
            new ProgramBudgets(store, eventLoop, new GrantIds(1)),
            new TurnHistory(store, eventLoop, 1_000),
            new NettyEngineTransport(group, translator),
            health,
            (event, fields) -> {},
            new GatewayMetrics());
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      port = free.getLocalPort();
    }
    new IngressServer(new CallCoordinator(context), translator, state, (event, fields) -> {})
        .listen(group, new InetSocketAddress("127.0.0.1", port));
  }

  @AfterEach
  void stop() throws IOException {
    engine.close();
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
  }

  /** Sends bytes and returns all that comes back until the end or half a second of silence. */
  private String exchange(String bytes) throws IOException {
    try (Socket socket = new Socket("127.0.0.1", port)) {
      socket.setSoTimeout(500);
      socket.getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
      StringBuilder answer = new StringBuilder();
      byte[] buffer = new byte[4_096];
      try {
        int read;
        while ((read = socket.getInputStream().read(buffer)) >= 0) {
          answer.append(new String(buffer, 0, read, StandardCharsets.US_ASCII));
        }
        answer.append("[end]");
      } catch (SocketTimeoutException e) {
        answer.append("[open]");
      }
      return answer.toString();
    }
  }

  @Test
  void passesARequestOnAndKeepsTheConnection() throws IOException {
    String answer =
        exchange("POST /p/x HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\nContent-Length: 2\r\n\r\nab");
    assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
    assertTrue(answer.endsWith("body[open]"), answer);
    assertTrue(answer.contains("X-Signed: s"), answer);
  }

  @ParameterizedTest(name = "{0}")
  @CsvSource({
    "no host, POST /p/x HTTP/1.1|X-Id: r1||, 400",
    "two hosts, POST /p/x HTTP/1.1|Host: h|Host: g|X-Id: r1||, 400",
    "no identifier, POST /p/x HTTP/1.1|Host: h||, 400",
    "length and chunks, POST /p/x HTTP/1.1|Host: h|X-Id: r1|Content-Length: 3|Transfer-Encoding: chunked||0||, 400",
    "two lengths, POST /p/x HTTP/1.1|Host: h|X-Id: r1|Content-Length: 1|Content-Length: 2||ab, 400",
    "unknown coding, POST /p/x HTTP/1.1|Host: h|X-Id: r1|Transfer-Encoding: gzip||, 400",
    "a bad chunk, POST /p/x HTTP/1.1|Host: h|X-Id: r1|Transfer-Encoding: chunked||zz|, 400",
    "not HTTP, nonsense||, 400",
    "too long, POST /p/x HTTP/1.1|Host: h|X-Id: r1|Content-Length: 101||, 413",
  })
  void aMalformedRequestIsRefusedAndTheConnectionClosed(String name, String bytes, int status)
      throws IOException {
    String answer = exchange(bytes.replace("|", "\r\n"));
    assertTrue(answer.startsWith("HTTP/1.1 " + status), answer);
    assertTrue(answer.endsWith("[end]"), answer);
    assertEquals(List.of(), engine.requests());
  }

  @Test
  void headersBeyondTheLimitAreRefused() throws IOException {
    String long431 = "X-Long: " + "a".repeat(3_000);
    String answer =
        exchange("POST /p/x HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\n" + long431 + "\r\n\r\n");
    assertTrue(answer.startsWith("HTTP/1.1 431"), answer);
  }

  @Test
  void aRequestHiddenInABodyIsNotSeen() throws IOException {
    String hidden = "GET /p/y HTTP/1.1\r\nHost: h\r\nX-Id: r9\r\n\r\n";
    exchange(
        "POST /p/x HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\nContent-Length: "
            + hidden.length()
            + "\r\n\r\n"
            + hidden);
    assertEquals(1, engine.requests().size());
    assertFalse(engine.requests().get(0).contains("r9"));
  }

  @Test
  void requestsOnOneConnectionAreAnsweredInOrder() throws IOException {
    String request = "GET /p/x HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\n\r\n";
    String answers = exchange(request + request);
    assertEquals(3, answers.split("HTTP/1.1 200", -1).length, answers);
  }
}
