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
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Sends requests through a complete node to an engine that sends some responses twice. */
class TestLateResponses {
  private static final int TIMEOUT_MILLIS = 10_000;
  private static final String REFUSAL =
      "HTTP/1.1 503 Full\r\nX-Id: r1\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
  private static final String SUCCESS =
      "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Signed: s\r\nContent-Length: 4\r\n\r\nbody";

  /**
   * Guards against a late second copy of a refusal that is taken for the response to the next send
   * of the same request: the request, which the engine runs, would be sent once more.
   */
  @ParameterizedTest
  @EnumSource(
      value = RouteKind.class,
      names = {"UNSAFE", "SAFE"})
  void aRequestIsSentAgainOnlyOnceAlthoughItsRefusalArrivesTwice(RouteKind kind)
      throws IOException {
    try (ScriptedEngine engine =
            new ScriptedEngine(
                new Response(REFUSAL, After.REPEAT), new Response(SUCCESS, After.KEEP));
        LoopbackGateway gateway =
            new LoopbackGateway(
                engine.port(),
                LoopbackGateway.route(kind, TIMEOUT_MILLIS),
                RequestLimits.DEFAULT,
                HeldBytesLimiter.Bounds.DEFAULT);
        Socket caller = new Socket("127.0.0.1", gateway.port())) {
      caller.setSoTimeout(TIMEOUT_MILLIS);
      String request = "GET /p/x HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\nConnection: close\r\n\r\n";
      caller.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      String response =
          new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
      assertTrue(response.startsWith("HTTP/1.1 200"), response);
      assertEquals(2, engine.requests().size());
    }
  }

  /**
   * Guards against a second response to a request that is taken for the first one, since the first
   * names no request and was skipped.
   */
  @ParameterizedTest
  @CsvSource({
    "UNSAFE, 500 Failed, ''",
    "SAFE, 500 Failed, ''",
    "STREAMING, 500 Failed, ''",
    "UNSAFE, 500 Failed, X-Id:|",
    "SAFE, 503 Full, X-Id:|",
    "UNSAFE, 200 OK, X-Signed: other|",
    "SAFE, 204 No Content, X-Signed: other|",
  })
  void aResponseThatNamesNoRequestIsNotFollowedByAnother(
      RouteKind kind, String status, String field) throws IOException {
    String response = secondResponse(kind, status, field);
    assertTrue(response.startsWith("HTTP/1.1 502"), response);
  }

  /** A success without a signature is never passed on, so the own response may follow it. */
  @ParameterizedTest
  @CsvSource({"UNSAFE, ''", "SAFE, ''", "UNSAFE, X-Id:|"})
  void aSuccessWithoutSignatureThatNamesNoRequestIsSkipped(RouteKind kind, String field)
      throws IOException {
    String response = secondResponse(kind, "200 OK", field);
    assertTrue(response.startsWith("HTTP/1.1 200"), response);
    assertTrue(response.endsWith("body"), response);
  }

  /**
   * Guards against a response that names no request and is taken for the own one since its
   * connection is new: a success, or the statement that the request did not run.
   */
  @ParameterizedTest
  @CsvSource({
    "UNSAFE, 200 OK, X-Signed: other",
    "SAFE, 200 OK, X-Signed: other",
    "UNSAFE, 503 Full, X-Not-Run: 1",
    "SAFE, 503 Full, X-Not-Run: 1",
    "UNSAFE, 500 Failed, X-Signed: other",
  })
  void aResponseOnANewConnectionThatNamesNoRequestIsBroken(
      RouteKind kind, String status, String field) throws IOException {
    String nameless = "HTTP/1.1 " + status + "\r\n" + field + "\r\nContent-Length: 0\r\n\r\n";
    try (ScriptedEngine engine = new ScriptedEngine(new Response(nameless + SUCCESS, After.KEEP));
        LoopbackGateway gateway = gatewayTo(engine, kind)) {
      String response = call(gateway, "r1");
      assertTrue(response.startsWith("HTTP/1.1 502"), response);
      assertEquals(1, engine.requests().size());
    }
  }

  /** Guards against an own response that is lost behind one that can never be passed on. */
  @ParameterizedTest
  @EnumSource(
      value = RouteKind.class,
      names = {"UNSAFE", "SAFE"})
  void onANewConnectionASuccessWithoutSignatureThatNamesNoRequestIsSkipped(RouteKind kind)
      throws IOException {
    String stray = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray";
    try (ScriptedEngine engine = new ScriptedEngine(new Response(stray + SUCCESS, After.KEEP));
        LoopbackGateway gateway = gatewayTo(engine, kind)) {
      String response = call(gateway, "r1");
      assertTrue(response.startsWith("HTTP/1.1 200"), response);
      assertTrue(response.endsWith("body"), response);
    }
  }

  /**
   * Guards against a part of a second response that becomes the beginning of the response to the
   * next request.
   */
  @ParameterizedTest
  @ValueSource(
      strings = {"H", "HTTP/1.1 200 OK\r\nServer: x", "HTTP/1.1 200 OK\r\nX-Signed: s\r\n", "\n"})
  void aPartOfASecondResponseEndsItsConnection(String part) throws IOException {
    String first =
        SUCCESS.replace("r1", "r0").replace("X-Signed", "Keep-Alive: timeout=60\r\nX-Signed");
    String own = "HTTP/1.1 500 Failed\r\nX-Id: r1\r\nX-Signed: s\r\nContent-Length: 4\r\n\r\nbody";
    try (ScriptedEngine engine =
            new ScriptedEngine(
                new Response(first + part, After.KEEP), new Response(own, After.KEEP));
        LoopbackGateway gateway = gatewayTo(engine, RouteKind.UNSAFE)) {
      assertTrue(call(gateway, "r0").startsWith("HTTP/1.1 200"));
      String response = call(gateway, "r1");
      assertTrue(response.startsWith("HTTP/1.1 500"), response);
      assertEquals(2, engine.connections());
    }
  }

  /**
   * Guards against a success that has its status from the cut head of one response and its
   * signature from the head behind it.
   */
  @ParameterizedTest
  @ValueSource(strings = {"HTTP/1.1 200 ", "HTTP/1.1 200 OK\r\nServer: x", "HTTP/1.1 200 OK\r\n"})
  void headsOfTwoResponsesAreNotReadAsOne(String cut) throws IOException {
    String own = "HTTP/1.1 500 Failed\r\nX-Id: r1\r\nX-Signed: s\r\nContent-Length: 4\r\n\r\nbody";
    try (ScriptedEngine engine = new ScriptedEngine(new Response(cut + own, After.KEEP));
        LoopbackGateway gateway = gatewayTo(engine, RouteKind.UNSAFE)) {
      String response = call(gateway, "r1");
      assertTrue(response.startsWith("HTTP/1.1 502"), response);
    }
  }

  private static LoopbackGateway gatewayTo(ScriptedEngine engine, RouteKind kind)
      throws IOException {
    return new LoopbackGateway(
        engine.port(),
        LoopbackGateway.route(kind, TIMEOUT_MILLIS),
        RequestLimits.DEFAULT,
        HeldBytesLimiter.Bounds.DEFAULT);
  }

  /**
   * Returns what the second caller on a connection to the engine gets, if a response that names no
   * request stands before the own one.
   */
  private static String secondResponse(RouteKind kind, String status, String field)
      throws IOException {
    String nameless =
        "HTTP/1.1 "
            + status
            + "\r\n"
            + field.replace("|", "\r\n")
            + (status.startsWith("204") ? "\r\n" : "Content-Length: 0\r\n\r\n");
    String reusable = SUCCESS.replace("Content-Length", "Keep-Alive: timeout=60\r\nContent-Length");
    try (ScriptedEngine engine =
            new ScriptedEngine(
                new Response(reusable.replace("r1", "r0"), After.KEEP),
                new Response(nameless + SUCCESS, After.KEEP));
        LoopbackGateway gateway =
            new LoopbackGateway(
                engine.port(),
                LoopbackGateway.route(kind, TIMEOUT_MILLIS),
                RequestLimits.DEFAULT,
                HeldBytesLimiter.Bounds.DEFAULT)) {
      assertTrue(call(gateway, "r0").startsWith("HTTP/1.1 200"));
      String response = call(gateway, "r1");
      assertEquals(1, engine.connections());
      return response;
    }
  }

  private static String call(LoopbackGateway gateway, String id) throws IOException {
    try (Socket caller = new Socket("127.0.0.1", gateway.port())) {
      caller.setSoTimeout(TIMEOUT_MILLIS);
      String request =
          "GET /p/x HTTP/1.1\r\nHost: h\r\nX-Id: " + id + "\r\nConnection: close\r\n\r\n";
      caller.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      return new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }
  }
}
