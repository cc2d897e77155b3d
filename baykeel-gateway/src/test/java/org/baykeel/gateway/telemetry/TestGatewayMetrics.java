package org.baykeel.gateway.telemetry;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class TestGatewayMetrics {
  @Test
  void tellsCallsByStatusAndTimes() {
    GatewayMetrics metrics = new GatewayMetrics();
    metrics.callEnded(200, 120, 20);
    metrics.callEnded(200, 130, -1);
    metrics.callEnded(503, 1, -1);
    metrics.attemptFailed();
    String text = new String(metrics.render(), StandardCharsets.UTF_8);
    assertTrue(text.contains("baykeel_gateway_calls_total{status=\"200\"} 2.0"), text);
    assertTrue(text.contains("baykeel_gateway_calls_total{status=\"503\"} 1.0"), text);
    assertTrue(text.contains("baykeel_gateway_failed_attempts_total 1.0"), text);
    assertTrue(text.contains("baykeel_gateway_call_seconds_count 3"), text);
    assertTrue(text.contains("baykeel_gateway_first_event_seconds{quantile=\"0.5\"} 0.02"), text);
  }
}
