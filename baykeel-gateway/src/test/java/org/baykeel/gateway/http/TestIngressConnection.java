package org.baykeel.gateway.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.UnaryOperator;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import org.baykeel.gateway.buffering.HeldBytesLimiter;
import org.baykeel.gateway.configuration.RequestLimits;
import org.baykeel.gateway.configuration.Route;
import org.baykeel.gateway.configuration.RouteKind;
import org.baykeel.gateway.testing.ScriptedEngine;
import org.baykeel.gateway.testing.ScriptedEngine.After;
import org.baykeel.gateway.testing.ScriptedEngine.Response;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Sends raw bytes of callers to a complete node on loopback, with a scripted engine behind it. */
class TestIngressConnection {
  private static final String RESPONSE =
      "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Signed: s\r\nContent-Length: 4\r\n\r\nbody";
  private static final int TIMEOUT_MILLIS = 20_000;
  private static final long ROUTE_TIMEOUT_MILLIS = 300;
  private static final int LONG_BODY = 16 << 20;
  private static final RequestLimits LIMITS = new RequestLimits(2_000, 100, 3_000, 15_000);

  private ScriptedEngine engine;
  private LoopbackGateway gateway;
  private int port;

  @BeforeEach
  void start() throws IOException {
    engine = new ScriptedEngine(new Response(RESPONSE, After.KEEP));
    Route route = LoopbackGateway.route(RouteKind.UNSAFE, 2_000);
    gateway = new LoopbackGateway(engine.port(), route, LIMITS, HeldBytesLimiter.Bounds.DEFAULT);
    port = gateway.port();
  }

  @AfterEach
  void stop() throws IOException {
    engine.close();
    gateway.close();
  }

  /** Sends bytes and returns everything received until the node closes the connection. */
  private String exchangeToEnd(String bytes) throws IOException {
    try (Socket socket = connect()) {
      socket.getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket("127.0.0.1", port);
    socket.setSoTimeout(TIMEOUT_MILLIS);
    return socket;
  }

  /** Sends bytes on an open connection and reads until the number of complete responses arrived. */
  private static String exchange(Socket socket, String bytes, int responses) throws IOException {
    socket.getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
    StringBuilder response = new StringBuilder();
    while (response.toString().split("body", -1).length <= responses) {
      int octet = socket.getInputStream().read();
      if (octet < 0) {
        throw new IOException("closed after: " + response);
      }
      response.append((char) octet);
    }
    return response.toString();
  }

  @Test
  void forwardsARequestAndKeepsTheConnection() throws IOException {
    String request = "POST /p/x HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\nContent-Length: 2\r\n\r\nab";
    try (Socket socket = connect()) {
      String response = exchange(socket, request, 1);
      assertTrue(response.startsWith("HTTP/1.1 200"), response);
      assertTrue(response.contains("X-Signed: s"), response);
      assertTrue(exchange(socket, request, 1).startsWith("HTTP/1.1 200"), "still open");
    }
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
    "blank before the colon, POST /p/x HTTP/1.1|Host: h|X-Id: r1|Content-Length : 3||abc, 400",
    "blank in a name, POST /p/x HTTP/1.1|Host: h|X-Id: r1|Content-Length x: 3||abc, 400",
    "signed length, POST /p/x HTTP/1.1|Host: h|X-Id: r1|Content-Length: +4||abcd, 400",
    "chunked twice, POST /p/x HTTP/1.1|Host: h|X-Id: r1|Transfer-Encoding: chunked|Transfer-Encoding: chunked||0||, 400",
    "same length twice, POST /p/x HTTP/1.1|Host: h|X-Id: r1|Content-Length: 1|Content-Length: 1||a, 400",
    "folded field, POST /p/x HTTP/1.1|Host: h|X-Id: r1|X: a| b||, 400",
    "folded trailer, POST /p/x HTTP/1.1|Host: h|X-Id: r1|Transfer-Encoding: chunked||0|X: a| b||, 400",
    "other version, POST /p/x HTTP/2.0|Host: h|X-Id: r1||, 400",
    "too long, POST /p/x HTTP/1.1|Host: h|X-Id: r1|Content-Length: 101||, 413",
  })
  void refusesAMalformedRequestAndClosesTheConnection(String name, String bytes, int status)
      throws IOException {
    String response = exchangeToEnd(bytes.replace("|", "\r\n"));
    assertTrue(response.startsWith("HTTP/1.1 " + status), response);
    assertEquals(List.of(), engine.requests());
  }

  /**
   * Guards against a line that ends with a line feed alone, which other readers do not end there.
   */
  @Test
  void refusesLineFeedsWithoutCarriageReturns() throws IOException {
    String response = exchangeToEnd("GET /p/x HTTP/1.1\nHost: h\nX-Id: r1\n\n");
    assertTrue(response.startsWith("HTTP/1.1 400"), response);
    assertEquals(List.of(), engine.requests());
  }

  @Test
  void refusesTrailersBeyondTheLimit() throws IOException {
    String response =
        exchangeToEnd(
            "POST /p/x HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"
                + "a:\r\n".repeat(1_000));
    assertTrue(response.startsWith("HTTP/1.1 431"), response);
    assertEquals(List.of(), engine.requests());
  }

  @Test
  void refusesHeadersBeyondTheLimit() throws IOException {
    String longField = "X-Long: " + "a".repeat(3_000);
    String response =
        exchangeToEnd("POST /p/x HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\n" + longField + "\r\n\r\n");
    assertTrue(response.startsWith("HTTP/1.1 431"), response);
  }

  @ParameterizedTest(name = "{0}")
  @CsvSource({
    "a body over the limit, POST /p/x HTTP/1.1|Host: h|X-Id: r1|Content-Length: 16777216||, 413",
    "no host, POST /p/x HTTP/1.1|X-Id: r1|Content-Length: 16777216||, 400",
    "not HTTP, nonsense||, 400",
  })
  void deliversARefusalToACallerThatIsStillSending(String name, String head, int status)
      throws IOException {
    try (Socket socket = connect()) {
      socket.getOutputStream().write(head.replace("|", "\r\n").getBytes(StandardCharsets.US_ASCII));
      socket.getOutputStream().write(new byte[LONG_BODY]);
      String response =
          new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
      assertTrue(response.startsWith("HTTP/1.1 " + status), response);
    }
  }

  @Test
  void doesNotReadARequestHiddenInABody() throws IOException {
    String hidden = "GET /p/y HTTP/1.1\r\nHost: h\r\nX-Id: r9\r\n\r\n";
    String request =
        "POST /p/x HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\nContent-Length: "
            + hidden.length()
            + "\r\n\r\n"
            + hidden;
    String next = "GET /p/z HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\nConnection: close\r\n\r\n";
    exchangeToEnd(request + next);
    assertEquals(2, engine.requests().size());
    assertTrue(engine.requests().get(1).startsWith("GET /p/z"), engine.requests().get(1));
    assertFalse(engine.requests().get(0).contains("r9"));
  }

  @Test
  void respondsToPipelinedRequestsInOrder() throws IOException {
    String request = "GET /p/x HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\n\r\n";
    try (Socket socket = connect()) {
      String responses = exchange(socket, request + request, 2);
      assertEquals(3, responses.split("HTTP/1.1 200", -1).length, responses);
    }
  }

  /** Returns a request whose path ends with its identifier. */
  private static String requestOf(String id) {
    return "GET /p/" + id + " HTTP/1.1\r\nHost: h\r\nX-Id: " + id + "\r\n\r\n";
  }

  private static String responseTo(String id) {
    return RESPONSE.replace("r1", id);
  }

  /** Starts a node with an engine whose response depends on the identifier of the request. */
  private void restart(long timeoutMillis, UnaryOperator<String> bytesOf) throws IOException {
    stop();
    engine =
        new ScriptedEngine(
            head -> {
              String id = head.substring("GET /p/".length(), head.indexOf(" HTTP"));
              return new Response(bytesOf.apply(id), id.equals("cut") ? After.CLOSE : After.KEEP);
            });
    Route route = LoopbackGateway.route(RouteKind.UNSAFE, timeoutMillis);
    gateway = new LoopbackGateway(engine.port(), route, LIMITS, HeldBytesLimiter.Bounds.DEFAULT);
    port = gateway.port();
  }

  /** Returns the statuses and the identifiers in responses, in order. */
  private static List<String> statusesAndIds(String responses) {
    return Pattern.compile("(?<=HTTP/1.1 )\\d+|(?<=X-Id: )\\S+")
        .matcher(responses)
        .results()
        .map(MatchResult::group)
        .toList();
  }

  /** Guards against the response to one request on a kept connection, given to another one. */
  @Test
  void eachPipelinedRequestGetsItsOwnResponse() throws IOException {
    restart(
        2_000,
        id ->
            switch (id) {
              case "cut" -> responseTo(id).substring(0, 20);
              case "twice" -> responseTo(id) + responseTo(id);
              default -> responseTo(id);
            });
    List<String> ids = List.of("a", "cut", "b", "twice", "c");
    try (Socket socket = connect()) {
      StringBuilder requests = new StringBuilder();
      ids.forEach(id -> requests.append(requestOf(id)));
      String responses = exchange(socket, requests.toString(), ids.size() - 1);
      assertEquals(
          List.of("200", "a", "502", "200", "b", "200", "twice", "200", "c"),
          statusesAndIds(responses));
    }
  }

  /** Guards against the late response to a request that timed out, given to the next request. */
  @Test
  void aLateResponseIsNotGivenToTheNextRequest() throws IOException {
    restart(
        ROUTE_TIMEOUT_MILLIS,
        id -> {
          if (id.equals("late")) {
            sleep(2 * ROUTE_TIMEOUT_MILLIS);
          }
          return responseTo(id);
        });
    try (Socket socket = connect()) {
      String responses = exchange(socket, requestOf("late") + requestOf("a") + requestOf("b"), 2);
      sleep(2 * ROUTE_TIMEOUT_MILLIS);
      responses += exchange(socket, requestOf("c"), 1);
      assertEquals(List.of("504", "200", "a", "200", "b", "200", "c"), statusesAndIds(responses));
    }
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
