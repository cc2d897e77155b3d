package org.baykeel.gateway.telemetry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

class TestGatewayMetrics {
  @Test
  void rendersCallsByStatusAndLatency() {
    GatewayMetrics metrics = new GatewayMetrics();
    metrics.callEnded(200, 120, 20);
    metrics.callEnded(200, 130, -1);
    metrics.callEnded(503, 1, -1);
    metrics.attemptFailed();
    metrics.admissionDecided("admitted");
    metrics.admissionDecided("no_room");
    String text = new String(metrics.render(), StandardCharsets.UTF_8);
    assertTrue(text.contains("baykeel_gateway_calls_total{status=\"200\"} 2.0"), text);
    assertTrue(text.contains("baykeel_gateway_calls_total{status=\"503\"} 1.0"), text);
    assertTrue(text.contains("baykeel_gateway_programs_total{outcome=\"no_room\"} 1.0"), text);
    assertTrue(text.contains("baykeel_gateway_failed_attempts_total 1.0"), text);
    assertTrue(text.contains("baykeel_gateway_call_seconds_count 3"), text);
    assertTrue(text.contains("baykeel_gateway_first_event_seconds{quantile=\"0.5\"} 0.02"), text);
  }

  @Test
  void rendersOnlySendsWithRank() {
    GatewayMetrics metrics = new GatewayMetrics();
    metrics.requestRanked(8);
    metrics.requestRanked(8);
    metrics.requestRanked(-1);
    String text = new String(metrics.render(), StandardCharsets.UTF_8);
    assertTrue(text.contains("baykeel_gateway_ranked_sends_total{rank=\"8\"} 2.0"), text);
    assertFalse(text.contains("rank=\"-1\""), text);
  }

  @Test
  void logsUsageSinceLastReportAndRendersTotals() {
    GatewayMetrics metrics = new GatewayMetrics();
    List<String> lines = new ArrayList<>();
    GatewayLog log = (event, fields) -> lines.add(event + " " + Arrays.toString(fields));
    metrics.reportUsage(log);
    metrics.storeCalled("watch_engines");
    metrics.storeCalled("create_budget");
    metrics.storeCalled("watch_engines");
    metrics.engineConnectionOpened();
    metrics.reportUsage(log);
    metrics.reportUsage(log);
    metrics.storeCalled("create_budget");
    metrics.reportUsage(log);
    assertEquals(
        List.of(
            "USAGE [create_budget, 1, watch_engines, 2, engine_connections, 1]",
            "USAGE [create_budget, 1, engine_connections, 0]"),
        lines);
    String text = new String(metrics.render(), StandardCharsets.UTF_8);
    assertTrue(
        text.contains("baykeel_gateway_store_calls_total{purpose=\"create_budget\"} 2.0"), text);
    assertTrue(text.contains("baykeel_gateway_engine_connections_total 1.0"), text);
  }

  @Test
  void logsWorkOfTheLoopSinceLastReportAndRendersTotals() {
    GatewayMetrics metrics = new GatewayMetrics();
    List<String> lines = new ArrayList<>();
    GatewayLog log = (event, fields) -> lines.add(event + " " + Arrays.toString(fields));
    long beganNanos = System.nanoTime() - 7_000_000_000L;
    metrics.work().done(LoopWork.Kind.PEERS, beganNanos);
    metrics.work().done(LoopWork.Kind.PEERS, beganNanos);
    metrics.work().received(String.class);
    metrics.work().late(31_000_000);
    metrics.reportWork(log);
    metrics.reportWork(log);
    assertTrue(lines.get(0).contains("peers_ms, 140"), lines.get(0));
    assertTrue(lines.get(0).contains("peers_count, 2"), lines.get(0));
    assertTrue(lines.get(0).contains("lag_ms, 31"), lines.get(0));
    assertTrue(lines.get(1).contains("peers_count, 0"), lines.get(1));
    assertTrue(lines.get(1).contains("lag_ms, 0"), lines.get(1));
    String text = new String(metrics.render(), StandardCharsets.UTF_8);
    assertTrue(text.contains("baykeel_gateway_loop_pieces_total{kind=\"peers\"} 2.0"), text);
    assertTrue(text.contains("baykeel_gateway_peer_messages_total{type=\"String\"} 1.0"), text);
    assertTrue(text.contains("baykeel_gateway_processor_milliseconds_total"), text);
  }
}
