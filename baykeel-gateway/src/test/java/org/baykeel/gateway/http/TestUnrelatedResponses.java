package org.baykeel.gateway.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.baykeel.gateway.buffering.HeldBytesLimiter;
import org.baykeel.gateway.configuration.RequestLimits;
import org.baykeel.gateway.configuration.RouteKind;
import org.baykeel.gateway.telemetry.GatewayEvent;
import org.baykeel.gateway.testing.ScriptedEngine;
import org.baykeel.gateway.testing.ScriptedEngine.After;
import org.baykeel.gateway.testing.ScriptedEngine.Response;
import org.junit.jupiter.api.Test;

/**
 * The log lines of a complete node that lead from a response to the exchange that it was read on.
 */
class TestUnrelatedResponses {
  private static final int TIMEOUT_MILLIS = 10_000;

  private static String success(String id, String signature) {
    return "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signed: %s\r\nKeep-Alive: timeout=60\r\nContent-Length: 4\r\n\r\nbody"
        .formatted(id, signature);
  }

  private static LoopbackGateway gatewayTo(ScriptedEngine engine) throws IOException {
    return new LoopbackGateway(
        engine.port(),
        LoopbackGateway.route(RouteKind.UNSAFE, TIMEOUT_MILLIS),
        RequestLimits.DEFAULT,
        HeldBytesLimiter.Bounds.DEFAULT);
  }

  private static void call(LoopbackGateway gateway, String id) throws IOException {
    try (Socket caller = new Socket("127.0.0.1", gateway.port())) {
      caller.setSoTimeout(TIMEOUT_MILLIS);
      String request =
          "GET /p/x HTTP/1.1\r\nHost: h\r\nX-Id: %s\r\nConnection: close\r\n\r\n".formatted(id);
      caller.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      String response =
          new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
      assertTrue(response.startsWith("HTTP/1.1 200"), response);
    }
  }

  /** Guards against a success whose line does not lead to the engine's response. */
  @Test
  void theLineOfASuccessNamesTheExchangeAndTheSignature() throws Exception {
    try (ScriptedEngine engine =
            new ScriptedEngine(
                new Response(success("r1", "s1"), After.REPEAT),
                new Response(success("r2", "s2"), After.KEEP));
        LoopbackGateway gateway = gatewayTo(engine)) {
      call(gateway, "r1");
      call(gateway, "r2");
      List<String> lines = gateway.awaitCallLines(GatewayEvent.CALL_ENDED, 2);
      assertTrue(
          lines.get(0).endsWith(" connection=1 exchange=1 skipped=0 signature=s1"), lines.get(0));
      assertTrue(
          lines.get(1).endsWith(" connection=1 exchange=2 skipped=1 signature=s2"), lines.get(1));
    }
  }

  /** Guards against a response to another request that is skipped without a line. */
  @Test
  void aSkippedResponseIsLogged() throws Exception {
    try (ScriptedEngine engine =
            new ScriptedEngine(
                new Response(success("r1", "s1"), After.REPEAT),
                new Response(success("r2", "s2"), After.KEEP));
        LoopbackGateway gateway = gatewayTo(engine)) {
      call(gateway, "r1");
      call(gateway, "r2");
      assertEquals(
          List.of(
              "RESPONSE_SKIPPED id=r2 engine=e connection=1 exchange=2 response_id=r1 status=200"
                  + " signature=s1"),
          gateway.awaitCallLines(GatewayEvent.RESPONSE_SKIPPED, 1));
    }
  }

  /** Guards against a response behind a complete one that is dropped without a line. */
  @Test
  void aResponseForWhichNoRequestWaitsIsLogged() throws Exception {
    try (ScriptedEngine engine =
            new ScriptedEngine(
                new Response(success("r1", "s1") + success("r9", "s".repeat(100)), After.KEEP));
        LoopbackGateway gateway = gatewayTo(engine)) {
      call(gateway, "r1");
      assertEquals(
          List.of(
              "RESPONSE_UNEXPECTED engine=e connection=1 exchange=1 response_id=r9 status=200"
                  + " signature="
                  + "s".repeat(64)),
          gateway.awaitCallLines(GatewayEvent.RESPONSE_UNEXPECTED, 1));
    }
  }
}
