package org.baykeel.node.telemetry;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Locale;
import org.baykeel.core.error.ErrorKind;
import org.baykeel.core.log.LogEvent;

/** The node's metrics; docs/OPERATIONS.md lists them. */
public final class NodeMetrics {
  private static final double[] LATENCY_SECONDS = {
    0.001, 0.005, 0.02, 0.1, 0.5, 1, 2, 5, 10, 30, 120
  };

  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final Counter completed =
      Counter.builder().name("baykeel_requests_completed").help("Whole answers").register(registry);
  private final Counter failed =
      Counter.builder()
          .name("baykeel_requests_failed")
          .help("Refusals and failures by kind")
          .labelNames("kind")
          .register(registry);
  private final Histogram latency =
      Histogram.builder()
          .name("baykeel_request_seconds")
          .help("Time from a caller's request to its last answer")
          .classicOnly()
          .classicUpperBounds(LATENCY_SECONDS)
          .register(registry);
  private final Counter events =
      Counter.builder()
          .name("baykeel_events")
          .help("Log events by number")
          .labelNames("event")
          .register(registry);
  private final Gauge ledShards = gauge("baykeel_led_shards", "Shards led by this node");
  private final Gauge pending = gauge("baykeel_pending_requests", "Callers' requests under way");
  private final Gauge waiting = gauge("baykeel_waiting_calls", "Calls that wait for an engine");
  private final Gauge configurationVersion =
      gauge("baykeel_configuration_version", "Configuration in force");
  private final Gauge peerBytes = gauge("baykeel_peer_sent_bytes", "Bytes sent to other nodes");
  private final Gauge peerMessages =
      gauge("baykeel_peer_sent_messages", "Messages sent to other nodes");

  private Gauge gauge(String name, String help) {
    return Gauge.builder().name(name).help(help).register(registry);
  }

  /** Notes a whole answer. */
  public void requestCompleted(double seconds) {
    completed.inc();
    latency.observe(seconds);
  }

  /** Notes a refusal or failure. */
  public void requestFailed(ErrorKind kind) {
    failed.labelValues(kind.name().toLowerCase(Locale.ROOT)).inc();
  }

  /** Notes a log event. */
  public void event(LogEvent event) {
    events.labelValues(Integer.toString(event.number())).inc();
  }

  /** Sets the gauges. */
  public void update(
      int newLedShards,
      int newPending,
      int newWaiting,
      long newVersion,
      long bytes,
      long messages) {
    ledShards.set(newLedShards);
    pending.set(newPending);
    waiting.set(newWaiting);
    configurationVersion.set((double) newVersion);
    peerBytes.set((double) bytes);
    peerMessages.set((double) messages);
  }

  /** All metrics in Prometheus' text format. */
  public byte[] text() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try {
      new PrometheusTextFormatWriter(false).write(out, registry.scrape());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return out.toByteArray();
  }
}
