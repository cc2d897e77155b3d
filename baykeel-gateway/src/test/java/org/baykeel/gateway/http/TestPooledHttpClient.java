package org.baykeel.gateway.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.baykeel.gateway.remote.StoreCall;
import org.baykeel.gateway.remote.StoreReply;
import org.baykeel.gateway.telemetry.GatewayEvent;
import org.baykeel.gateway.testing.ScriptedEngine;
import org.baykeel.gateway.testing.ScriptedEngine.After;
import org.baykeel.gateway.testing.ScriptedEngine.Response;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Sends calls to a server that responds more than once, in parts or not at all. */
class TestPooledHttpClient {
  private static final long CALL_MILLIS = 500;
  private static final int LONG_CALL_BYTES = 8 << 20;
  private static final Pattern TARGET = Pattern.compile("^GET /(\\S+)");

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final List<GatewayEvent> events = new CopyOnWriteArrayList<>();

  @AfterEach
  void stop() {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
  }

  private PooledHttpClient clientOf(ScriptedEngine server) {
    return new PooledHttpClient(
        group,
        new InetSocketAddress("127.0.0.1", server.port()),
        (event, fields) -> events.add(event));
  }

  private static String answer(String body) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
  }

  /** Returns a server that responds to a call with its target, and to some with other bytes. */
  private static ScriptedEngine server(String target, String bytes, After after) throws Exception {
    return new ScriptedEngine(
        head -> {
          String called = targetOf(head);
          return called.equals(target)
              ? new Response(bytes, after)
              : new Response(answer(called), After.KEEP);
        });
  }

  private static String targetOf(String head) {
    Matcher matcher = TARGET.matcher(head);
    return matcher.find() ? matcher.group(1) : "";
  }

  private static StoreCall get(String target) {
    return new StoreCall(StoreCall.Method.GET, "/" + target, null, CALL_MILLIS, false);
  }

  /** Makes calls, each in the callback of the one before, and returns their outcomes. */
  private List<String> inTurn(PooledHttpClient client, String... targets) throws Exception {
    CompletableFuture<List<String>> outcomes = new CompletableFuture<>();
    group.next().execute(() -> call(client, List.of(targets), new ArrayList<>(), outcomes));
    return outcomes.get(20, TimeUnit.SECONDS);
  }

  private static void call(
      PooledHttpClient client,
      List<String> targets,
      List<String> outcomes,
      CompletableFuture<List<String>> end) {
    if (outcomes.size() == targets.size()) {
      end.complete(outcomes);
      return;
    }
    Consumer<StoreReply> callback =
        reply -> {
          outcomes.add(outcomeOf(reply));
          call(client, targets, outcomes, end);
        };
    client.call(get(targets.get(outcomes.size())), callback);
  }

  private static String outcomeOf(StoreReply reply) {
    return reply instanceof StoreReply.Answered answered
        ? answered.status() + " " + new String(answered.body(), StandardCharsets.US_ASCII)
        : reply.getClass().getSimpleName();
  }

  private static String lines(String bytes) {
    return bytes.replace("|", "\r\n");
  }

  @Test
  void callsInTurnUseOneConnection() throws Exception {
    try (ScriptedEngine server = server("none", "", After.KEEP)) {
      assertEquals(List.of("200 a", "200 b", "200 c"), inTurn(clientOf(server), "a", "b", "c"));
      assertEquals(1, server.connections());
      assertEquals(List.of(), events);
    }
  }

  /**
   * Guards against bytes behind a response that are taken for the response to the next call, which
   * is made as soon as the first one is answered.
   */
  @ParameterizedTest(name = "{0}")
  @CsvSource({
    "a second response, HTTP/1.1 200 OK|Content-Length: 5||wrong",
    "a second response in chunks, HTTP/1.1 200 OK|Transfer-Encoding: chunked||5|wrong|0||",
    "the head of a second response, HTTP/1.1 200 OK|Content-Length: 5||",
    "a part of its head, HTTP/1.1 200 OK|Content-Le",
    "its status line, HTTP/1.1 200 OK|",
    "a part of its status line, HTTP/1.",
    "one byte, H",
    "an interim response, HTTP/1.1 100 Continue||",
    "not a response, nonsense||",
  })
  void bytesBehindAResponseAreNoResponseToTheNextCall(String name, String stray) throws Exception {
    try (ScriptedEngine server = server("a", answer("a") + lines(stray), After.KEEP)) {
      assertEquals(List.of("200 a", "200 b", "200 c"), inTurn(clientOf(server), "a", "b", "c"));
      assertEquals(2, server.connections());
      assertEquals(List.of(GatewayEvent.UNSOLICITED_DATA), events);
    }
  }

  /**
   * Guards against a late second response to an earlier call, right before the own response, that
   * is taken for the own one.
   */
  @Test
  void ofTwoResponsesOnAReusedConnectionNoneIsTaken() throws Exception {
    try (ScriptedEngine server = server("b", answer("a") + answer("b"), After.KEEP)) {
      assertEquals(List.of("200 a", "Lost", "200 c"), inTurn(clientOf(server), "a", "b", "c"));
      assertEquals(2, server.connections());
      assertEquals(List.of(GatewayEvent.UNSOLICITED_DATA), events);
    }
  }

  /** Guards against parts of a response on an idle connection that become the next response. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 OK|Content-Length: 5||wrong",
        "HTTP/1.1 200 OK|Content-Length: 5||wro",
        "HTTP/1.1 200 OK|Content-Length: 5||",
        "HTTP/1.1 200 OK|Cont",
        "HTTP/1.1 200 OK|",
        "H",
        "nonsense||"
      })
  void anIdleConnectionThatReceivesAnythingIsClosed(String stray) throws Exception {
    try (ScriptedEngine server = server("none", "", After.KEEP)) {
      PooledHttpClient client = clientOf(server);
      inTurn(client, "a");
      server.sendOnAll(lines(stray));
      server.awaitOpen(0);
      assertEquals(List.of("200 b"), inTurn(client, "b"));
      assertEquals(2, server.connections());
      assertEquals(List.of(GatewayEvent.UNSOLICITED_DATA), events);
    }
  }

  /**
   * A response that arrives after the next call was sent and alone cannot be told from the own one;
   * the own one then closes the connection, so that no further call takes a wrong response.
   */
  @Test
  void aStrayResponseIsTakenByAtMostOneCall() throws Exception {
    try (ScriptedEngine server = server("b", answer("stray"), After.KEEP)) {
      PooledHttpClient client = clientOf(server);
      assertEquals(List.of("200 a", "200 stray"), inTurn(client, "a", "b"));
      server.sendOnAll(answer("b"));
      server.awaitOpen(0);
      assertEquals(List.of("200 c"), inTurn(client, "c"));
      assertEquals(List.of(GatewayEvent.UNSOLICITED_DATA), events);
    }
  }

  /**
   * Guards against the late response to a call that timed out, or that was cut, given to another.
   */
  @ParameterizedTest(name = "{0}")
  @CsvSource({
    "silent, '', KEEP",
    "closed, '', CLOSE",
    "cut in the status line, HTTP/1.1 2, CLOSE",
    "cut in the head, HTTP/1.1 200 OK|Content-Length: 1|, CLOSE",
    "cut in the body, HTTP/1.1 200 OK|Content-Length: 9||body, CLOSE",
    "cut in the chunks, HTTP/1.1 200 OK|Transfer-Encoding: chunked||4|body|, CLOSE",
    "cut in the last chunk, HTTP/1.1 200 OK|Transfer-Encoding: chunked||4|body|0|, CLOSE",
    "silent in the head, HTTP/1.1 200 OK|Content-Length: 1|, KEEP",
    "silent in the body, HTTP/1.1 200 OK|Content-Length: 9||body, KEEP",
    "reset in the body, HTTP/1.1 200 OK|Content-Length: 9||body, RESET",
    "reset without length, HTTP/1.1 200 OK||body, RESET",
    "two lengths, HTTP/1.1 200 OK|Content-Length: 1|Content-Length: 2||bb, KEEP",
    "not a response, nonsense||, KEEP",
    "status zero, HTTP/1.1 000 OK|Content-Length: 1||b, KEEP",
    "status out of range, HTTP/1.1 999 OK|Content-Length: 1||b, KEEP",
    "blank in a name, HTTP/1.1 200 OK|Content-Length x: 1||b, CLOSE",
    "other version, HTTP/2.0 200 OK|Content-Length: 1||b, KEEP",
    "interim only, HTTP/1.1 100 Continue||, KEEP",
  })
  void aCallWithoutACompleteResponseIsLostAndItsConnectionClosed(
      String name, String bytes, After after) throws Exception {
    try (ScriptedEngine server = server("b", lines(bytes), after)) {
      PooledHttpClient client = clientOf(server);
      assertEquals(List.of("200 a", "Lost", "200 c"), inTurn(client, "a", "b", "c"));
      assertEquals(2, server.connections());
      server.awaitOpen(1);
    }
  }

  /** Guards against a part of a response to a long call that is taken for the whole. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void responseWithoutLengthThatEndsWhileTheCallIsWrittenIsLost(boolean halfCloses)
      throws Exception {
    try (ServerSocket listener = new ServerSocket(0, 4, InetAddress.getLoopbackAddress())) {
      CompletableFuture.runAsync(() -> answerEarly(listener, halfCloses));
      PooledHttpClient client =
          new PooledHttpClient(
              group,
              new InetSocketAddress("127.0.0.1", listener.getLocalPort()),
              (event, fields) -> events.add(event));
      CompletableFuture<String> outcome = new CompletableFuture<>();
      StoreCall call =
          new StoreCall(
              StoreCall.Method.POST, "/a", new byte[LONG_CALL_BYTES], 10 * CALL_MILLIS, false);
      group.next().execute(() -> client.call(call, reply -> outcome.complete(outcomeOf(reply))));
      assertEquals("Lost", outcome.get(20, TimeUnit.SECONDS));
    }
  }

  private static void answerEarly(ServerSocket listener, boolean halfCloses) {
    try (Socket connection = listener.accept()) {
      connection.getInputStream().readNBytes(1_000);
      connection
          .getOutputStream()
          .write(lines("HTTP/1.1 200 OK||part").getBytes(StandardCharsets.US_ASCII));
      if (halfCloses) {
        connection.shutdownOutput();
      }
      Thread.sleep(20);
      connection.setSoLinger(true, 0);
    } catch (IOException | InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Guards against an interim response that is taken for the outcome of a call. */
  @Test
  void anInterimResponseIsSkipped() throws Exception {
    String interim = lines("HTTP/1.1 100 Continue||HTTP/1.1 103 Early Hints|Link: x||");
    try (ScriptedEngine server = server("a", interim + answer("a"), After.KEEP)) {
      assertEquals(List.of("200 a", "200 b"), inTurn(clientOf(server), "a", "b"));
      assertEquals(1, server.connections());
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"HTTP/1.1 200 OK||body", "HTTP/1.0 200 OK||body"})
  void aResponseThatEndsWithItsConnectionIsComplete(String bytes) throws Exception {
    try (ScriptedEngine server = server("b", lines(bytes), After.CLOSE)) {
      assertEquals(List.of("200 a", "200 body", "200 c"), inTurn(clientOf(server), "a", "b", "c"));
      assertEquals(2, server.connections());
      assertEquals(List.of(), events);
    }
  }
}
