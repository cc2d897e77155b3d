package org.baykeel.gateway.http;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;
import org.baykeel.gateway.buffering.HeldBytesLimiter;
import org.baykeel.gateway.configuration.RequestLimits;
import org.baykeel.gateway.configuration.RouteKind;
import org.baykeel.gateway.testing.ScriptedEngine;
import org.baykeel.gateway.testing.ScriptedEngine.After;
import org.baykeel.gateway.testing.ScriptedEngine.Response;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against answers of failing engines that callers get as the engine's: heads that obey no
 * grammar.
 */
class TestAnswersOfFailingEngines {
  private static final int TIMEOUT_MILLIS = 20_000;
  private static final long ROUTE_TIMEOUT_MILLIS = 5_000;
  private static final List<RouteKind> KINDS =
      List.of(RouteKind.SAFE, RouteKind.UNSAFE, RouteKind.STREAMING);
  private static final String SIGNED = "X-Id: r1|X-Signed: s|Content-Type: text/plain|";

  private LoopbackGateway gateway;
  private AutoCloseable engine;

  private void startGateway(RouteKind kind, int enginePort) throws IOException {
    gateway =
        new LoopbackGateway(
            enginePort,
            LoopbackGateway.route(kind, ROUTE_TIMEOUT_MILLIS),
            RequestLimits.DEFAULT,
            HeldBytesLimiter.Bounds.DEFAULT);
  }

  @AfterEach
  void stop() throws Exception {
    gateway.close();
    engine.close();
  }

  private static String lines(String text) {
    return text.replace("|", "\r\n").replace("\\0", "\0");
  }

  /** Returns all that a caller receives until the node closes its connection. */
  private String exchange(int uploadBytes) throws IOException {
    try (Socket caller = new Socket("127.0.0.1", gateway.port())) {
      caller.setSoTimeout(TIMEOUT_MILLIS);
      String head =
          lines("POST /p/x HTTP/1.1|Host: h|X-Id: r1|Connection: close|Content-Length: ")
              + uploadBytes
              + "\r\n\r\n";
      caller.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
      caller.getOutputStream().write(new byte[uploadBytes]);
      return new String(caller.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    } catch (IOException e) {
      // The connection was reset, which no caller takes for the end of a response.
      return "";
    }
  }

  /** Whether a caller takes what it received for a whole successful response. */
  private static boolean isCompleteSuccess(String received) {
    if (!received.startsWith("HTTP/1.1 2")) {
      return false;
    }
    boolean chunked = received.toLowerCase(Locale.ROOT).contains("transfer-encoding: chunked");
    return !chunked || received.endsWith("0\r\n\r\n");
  }

  private static Stream<Arguments> heads() {
    List<String> heads =
        List.of(
            "HTTP/1.1 0200 OK|" + SIGNED + "Content-Length: 4||body",
            "HTTP/1.1 +200 OK|" + SIGNED + "Content-Length: 4||body",
            "HTTP/1.1 000 OK|" + SIGNED + "Content-Length: 4||body",
            "HTTP/1.1 099 OK|" + SIGNED + "Content-Length: 4||body",
            "HTTP/1.1 600 OK|" + SIGNED + "Content-Length: 4||body",
            "HTTP/1.1 999 OK|" + SIGNED + "Content-Length: 4||body",
            "HTTP/1.1 2000 OK|" + SIGNED + "Content-Length: 4||body",
            "HTTP/2.0 200 OK|" + SIGNED + "Content-Length: 4||body",
            "HTTP/1.1 200 O\\0K|" + SIGNED + "Content-Length: 4||body",
            "HTTP/1.1 200 OK|" + SIGNED + "X Note: y|Content-Length: 4||body",
            "HTTP/1.1 200 OK|" + SIGNED + "X\\0Note: y|Content-Length: 4||body",
            "HTTP/1.1 200 OK|" + SIGNED + "Content-Length x: 2|Content-Length: 4||body",
            "HTTP/1.1 200 OK|" + SIGNED + "Content-Length x: 2||body",
            "HTTP/1.1 200 OK|" + SIGNED + "Content-Length : 2||body",
            "HTTP/1.1 200 OK|" + SIGNED + "Content-Length\t: 2||body",
            "HTTP/1.1 200 OK|X-Id z: r1|X-Signed z: s|Content-Length: 4||body",
            "HTTP/1.1 200 OK|" + SIGNED + "Transfer-Encoding: xchunked||4|body|0||",
            "HTTP/1.1 200 OK|" + SIGNED + "Transfer-Encoding: identity||body",
            "HTTP/1.1 200 OK|" + SIGNED + "Content-Length: 4| folded||body",
            "HTTP/1.1 200 OK|" + SIGNED + "Content-Length: 4|Content-Length: 4||body",
            "HTTP/1.1 200 OK|" + "a:|".repeat(1_000) + SIGNED + "Content-Length: 4||body");
    return KINDS.stream().flatMap(kind -> heads.stream().map(head -> Arguments.of(kind, head)));
  }

  @ParameterizedTest(name = "{0}, {1}")
  @MethodSource("heads")
  void answerWithAMalformedHeadIsNotPassedOn(RouteKind kind, String bytes) throws Exception {
    ScriptedEngine scripted = new ScriptedEngine(new Response(lines(bytes), After.CLOSE));
    engine = scripted;
    startGateway(kind, scripted.port());
    String received = exchange(0);
    assertTrue(received.startsWith("HTTP/1.1 502"), received);
  }

  private static Stream<Arguments> validAnswers() {
    List<String> answers =
        List.of(
            "HTTP/1.1 200 OK|" + SIGNED + "Content-Length: 4||body",
            "HTTP/1.1 200|" + SIGNED + "Content-Length: 4||body",
            "HTTP/1.0 200 OK|" + SIGNED + "Content-Length:4||body",
            "HTTP/1.1 200 OK|" + SIGNED + "transfer-encoding: CHUNKED||4;x=y|body|0|T: u||",
            "HTTP/1.1 103 Early Hints|Link: x||HTTP/1.1 200 OK|"
                + SIGNED
                + "Content-Length: 4||body",
            "HTTP/1.1 200 OK|" + SIGNED + "X-Note: \u00e9 \t|Content-Length: 4||body",
            "HTTP/1.1 200 OK|" + SIGNED + "|body");
    return KINDS.stream()
        .flatMap(kind -> answers.stream().map(answer -> Arguments.of(kind, answer)));
  }

  @ParameterizedTest(name = "{0}, {1}")
  @MethodSource("validAnswers")
  void answerInEachFramingIsPassedOn(RouteKind kind, String bytes) throws Exception {
    ScriptedEngine scripted = new ScriptedEngine(new Response(lines(bytes), After.CLOSE));
    engine = scripted;
    startGateway(kind, scripted.port());
    String received = exchange(0);
    assertTrue(isCompleteSuccess(received), received);
    assertTrue(received.contains("body"), received);
  }

  /** Guards against a success that is the part of an answer that was read before a time limit. */
  @Test
  void answerWithoutLengthWhoseConnectionStaysOpenIsNotPassedOnAsWhole() throws Exception {
    ScriptedEngine scripted =
        new ScriptedEngine(new Response(lines("HTTP/1.1 200 OK|" + SIGNED + "|part"), After.KEEP));
    engine = scripted;
    startGateway(RouteKind.UNSAFE, scripted.port());
    String received = exchange(0);
    assertTrue(received.startsWith("HTTP/1.1 50"), received);
  }
}
