package org.baykeel.gateway.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.baykeel.gateway.buffering.HeldBytesLimiter;
import org.baykeel.gateway.configuration.RequestLimits;
import org.baykeel.gateway.configuration.RouteKind;
import org.baykeel.gateway.testing.ScriptedEngine;
import org.baykeel.gateway.testing.ScriptedEngine.After;
import org.baykeel.gateway.testing.ScriptedEngine.Response;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Sends requests with the same identifier through a complete node to an engine that answers late.
 */
class TestRepeatedIdentifiers {
  private static final int TIMEOUT_MILLIS = 10_000;
  private static final String HEAD =
      "HTTP/1.1 %s\r\nX-Id: r1\r\nX-Signed: s-%s\r\nKeep-Alive: timeout=60\r\n";
  private static final String OWN = response("500 Failed", "own", Framing.LENGTH, "failed");

  /** How the end of a body is given. */
  enum Framing {
    LENGTH {
      @Override
      String frame(String body) {
        return "Content-Length: " + body.length() + "\r\n\r\n" + body;
      }
    },
    CHUNKED {
      @Override
      String frame(String body) {
        return "Transfer-Encoding: chunked\r\n\r\n"
            + Integer.toHexString(body.length())
            + "\r\n"
            + body
            + "\r\n0\r\n\r\n";
      }
    };

    abstract String frame(String body);
  }

  private static String response(String status, String signature, Framing framing, String body) {
    return HEAD.formatted(status, signature) + framing.frame(body);
  }

  private static String stream(Framing framing) {
    return HEAD.formatted("200 OK", "late")
        + "Content-Type: text/event-stream\r\n"
        + framing.frame("id: 1\ndata: late\n\n");
  }

  private static String call(LoopbackGateway gateway) throws IOException {
    try (Socket caller = new Socket("127.0.0.1", gateway.port())) {
      caller.setSoTimeout(TIMEOUT_MILLIS);
      String request = "GET /p/x HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\nConnection: close\r\n\r\n";
      caller.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      return new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }
  }

  /**
   * Guards against a late second response to a caller's first try that is taken for the response to
   * its second try with the same identifier.
   */
  @ParameterizedTest
  @CsvSource({
    "UNSAFE, 500 Failed, LENGTH",
    "UNSAFE, 503 Full, LENGTH",
    "UNSAFE, 200 OK, CHUNKED",
    "SAFE, 500 Failed, CHUNKED",
    "SAFE, 200 OK, LENGTH",
    "STREAMING, 500 Failed, LENGTH",
    "STREAMING, 200 OK, CHUNKED",
  })
  void aSecondTryGetsTheResponseToItsOwnSend(RouteKind kind, String firstStatus, Framing framing)
      throws IOException {
    String late =
        kind == RouteKind.STREAMING ? stream(framing) : response("200 OK", "late", framing, "late");
    String first = response(firstStatus, "first", framing, "first");
    try (ScriptedEngine engine =
            new ScriptedEngine(
                new Response(first, After.KEEP, late), new Response(OWN, After.KEEP));
        LoopbackGateway gateway =
            new LoopbackGateway(
                engine.port(),
                LoopbackGateway.route(kind, TIMEOUT_MILLIS),
                RequestLimits.DEFAULT,
                HeldBytesLimiter.Bounds.DEFAULT)) {
      String firstTry = call(gateway);
      assertTrue(firstTry.startsWith("HTTP/1.1 " + firstStatus.substring(0, 3)), firstTry);
      String secondTry = call(gateway);
      assertTrue(secondTry.startsWith("HTTP/1.1 500"), secondTry);
      assertTrue(secondTry.contains("s-own"), secondTry);
      assertEquals(2, engine.requests().size());
      assertEquals(2, engine.connections());
    }
  }
}
