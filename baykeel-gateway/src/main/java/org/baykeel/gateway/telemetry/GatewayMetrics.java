package org.baykeel.gateway.telemetry;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import io.prometheus.metrics.model.snapshots.CounterSnapshot.CounterDataPointSnapshot;
import io.prometheus.metrics.model.snapshots.GaugeSnapshot;
import io.prometheus.metrics.model.snapshots.Labels;
import io.prometheus.metrics.model.snapshots.MetricSnapshot;
import io.prometheus.metrics.model.snapshots.MetricSnapshots;
import io.prometheus.metrics.model.snapshots.Quantile;
import io.prometheus.metrics.model.snapshots.Quantiles;
import io.prometheus.metrics.model.snapshots.SummarySnapshot;
import io.prometheus.metrics.model.snapshots.SummarySnapshot.SummaryDataPointSnapshot;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import org.HdrHistogram.Histogram;
import org.baykeel.gateway.topology.Locality;

/**
 * Counters and latency histograms of the gateway. Counted on the event loop in plain numbers; the
 * metrics library is loaded only when somebody asks for the figures.
 */
public final class GatewayMetrics {
  private static final long MAX_RECORDED_MILLIS = 60_000;
  private static final int SIGNIFICANT_DIGITS = 2;
  private static final double[] QUANTILES = {0.5, 0.9, 0.99};

  private final Map<Integer, long[]> callsByStatus = new TreeMap<>();
  private final Histogram callMillis = new Histogram(MAX_RECORDED_MILLIS, SIGNIFICANT_DIGITS);
  private final Histogram firstEventMillis = new Histogram(MAX_RECORDED_MILLIS, SIGNIFICANT_DIGITS);
  private final Map<String, long[]> storeCalls = new TreeMap<>();
  private final Map<String, long[]> storeCallsToReport = new TreeMap<>();
  private final Map<String, long[]> limitFigures = new TreeMap<>();
  private final Map<String, long[]> keyVerdicts = new TreeMap<>();
  private final Map<String, long[]> sendsByLocality = new TreeMap<>();
  private final Map<Integer, long[]> sendsByRank = new TreeMap<>();
  private final Map<String, LongSupplier> gauges = new TreeMap<>();
  private final Map<String, long[]> programs = new TreeMap<>();
  private long engineConnections;
  private long engineConnectionsToReport;
  private long failedAttempts;

  /**
   * Counts a call.
   *
   * @param status the status that the caller got; 0 if its stream was cut
   * @param millis from its last byte to its end
   * @param firstMillis from its last byte to its first event; negative if there was none
   */
  public void callEnded(int status, long millis, long firstMillis) {
    callsByStatus.computeIfAbsent(status, key -> new long[1])[0]++;
    callMillis.recordValue(Math.min(MAX_RECORDED_MILLIS, Math.max(0, millis)));
    if (firstMillis >= 0) {
      firstEventMillis.recordValue(Math.min(MAX_RECORDED_MILLIS, firstMillis));
    }
  }

  /** Counts a send to an engine by where that is, as seen from this node. */
  public void requestSent(Locality locality) {
    sendsByLocality
        .computeIfAbsent(locality.name().toLowerCase(Locale.ROOT), key -> new long[1])[0]++;
  }

  /** Counts a send to an engine by its place in the engine's queue; negative if it has none. */
  public void requestRanked(int rank) {
    if (rank >= 0) {
      sendsByRank.computeIfAbsent(rank, key -> new long[1])[0]++;
    }
  }

  /** Counts a send to an engine that brought no whole answer. */
  public void attemptFailed() {
    failedAttempts++;
  }

  /**
   * Counts a call to the store.
   *
   * @param purpose what it is for, one of a few words
   */
  public void storeCalled(String purpose) {
    storeCalls.computeIfAbsent(purpose, key -> new long[1])[0]++;
    storeCallsToReport.computeIfAbsent(purpose, key -> new long[1])[0]++;
  }

  /** What is counted of the tenants' limits. */
  public enum LimitFigure {
    /** Requests that ran on a token asked for earlier. */
    FROM_SLICE,
    /** Tokens that this node took from its own bucket. */
    FROM_OWN_BUCKET,
    /** Requests of programs that run which waited for their token. */
    WAITED,
    /** Tokens given to other nodes. */
    GIVEN_TO_NODES,
    /** Tokens that came too late or were not used in time. */
    LOST,
    /** Requests beyond their tenant's limit. */
    REFUSED,
    /** Requests for which nobody could be asked. */
    UNDECIDED
  }

  /**
   * Counts what became of limits.
   *
   * @param count how many; 0 counts nothing
   */
  public void limitCounted(LimitFigure figure, long count) {
    if (count > 0) {
      String label = figure.name().toLowerCase(Locale.ROOT);
      limitFigures.computeIfAbsent(label, key -> new long[1])[0] += count;
    }
  }

  /**
   * Counts a verdict on a key.
   *
   * @param verdict one of a few words
   */
  public void keyChecked(String verdict) {
    keyVerdicts.computeIfAbsent(verdict, key -> new long[1])[0]++;
  }

  /**
   * Counts a program that asked to begin.
   *
   * @param outcome one of a few words
   */
  public void admissionDecided(String outcome) {
    programs.computeIfAbsent(outcome, key -> new long[1])[0]++;
  }

  /**
   * Adds a figure that is read whenever somebody asks for the figures.
   *
   * @param name its name, with its unit
   * @param value reads it
   */
  public void gauge(String name, LongSupplier value) {
    gauges.put(name, value);
  }

  /** Counts a connection that is opened to an engine. */
  public void engineConnectionOpened() {
    engineConnections++;
    engineConnectionsToReport++;
  }

  /** Writes what was used since the last such line, if anything was. */
  public void reportUsage(GatewayLog log) {
    if (storeCallsToReport.isEmpty() && engineConnectionsToReport == 0) {
      return;
    }
    List<Object> fields = new ArrayList<>();
    storeCallsToReport.forEach((purpose, count) -> fields.addAll(List.of(purpose, count[0])));
    fields.addAll(List.of("engine_connections", engineConnectionsToReport));
    log.write(GatewayEvent.USAGE, fields.toArray());
    storeCallsToReport.clear();
    engineConnectionsToReport = 0;
  }

  /** All figures in the Prometheus text format. */
  public byte[] render() {
    CounterSnapshot calls =
        counters(
            "baykeel_gateway_calls",
            "Calls by the status that the caller got; 0 is a stream that was cut",
            "status",
            callsByStatus);
    MetricSnapshots.Builder snapshots = MetricSnapshots.builder();
    gauges.forEach((name, value) -> snapshots.metricSnapshot(gaugeSnapshot(name, value)));
    for (MetricSnapshot snapshot :
        List.of(
            calls,
            counters(
                "baykeel_gateway_limit_tokens",
                "Tokens of the tenants' limits, and requests refused for want of them",
                "state",
                limitFigures),
            counters(
                "baykeel_gateway_programs",
                "Programs that asked to begin, by what became of it",
                "outcome",
                programs),
            counters("baykeel_gateway_keys", "Keys judged, by verdict", "verdict", keyVerdicts),
            counters(
                "baykeel_gateway_sends",
                "Sends to engines by where they are, as seen from this node",
                "locality",
                sendsByLocality),
            counters(
                "baykeel_gateway_ranked_sends",
                "Sends to engines by their place in the engine's queue; 0 is the most urgent",
                "rank",
                sendsByRank),
            counter(
                "baykeel_gateway_failed_attempts",
                "Sends to engines without a whole answer",
                failedAttempts),
            counter(
                "baykeel_gateway_engine_connections",
                "Connections opened to engines",
                engineConnections),
            counters(
                "baykeel_gateway_store_calls",
                "Calls to the store by kind and table",
                "purpose",
                storeCalls),
            summary("baykeel_gateway_call_seconds", "Time of a call", callMillis),
            summary(
                "baykeel_gateway_first_event_seconds",
                "Time to the first event of a stream",
                firstEventMillis))) {
      snapshots.metricSnapshot(snapshot);
    }
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try {
      new PrometheusTextFormatWriter(false).write(out, snapshots.build());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return out.toByteArray();
  }

  private static GaugeSnapshot gaugeSnapshot(String name, LongSupplier value) {
    return GaugeSnapshot.builder()
        .name(name)
        .help("As of now")
        .dataPoint(GaugeSnapshot.GaugeDataPointSnapshot.builder().value(value.getAsLong()).build())
        .build();
  }

  private static CounterSnapshot counter(String name, String help, long count) {
    return CounterSnapshot.builder()
        .name(name)
        .help(help)
        .dataPoint(CounterDataPointSnapshot.builder().value(count).build())
        .build();
  }

  private static CounterSnapshot counters(
      String name, String help, String label, Map<?, long[]> counts) {
    CounterSnapshot.Builder counters = CounterSnapshot.builder().name(name).help(help);
    counts.forEach(
        (value, count) ->
            counters.dataPoint(
                CounterDataPointSnapshot.builder()
                    .labels(Labels.of(label, String.valueOf(value)))
                    .value(count[0])
                    .build()));
    return counters.build();
  }

  private static SummarySnapshot summary(String name, String help, Histogram millis) {
    List<Quantile> quantiles = new ArrayList<>();
    for (double quantile : QUANTILES) {
      quantiles.add(new Quantile(quantile, millis.getValueAtPercentile(quantile * 100) / 1e3));
    }
    return SummarySnapshot.builder()
        .name(name)
        .help(help)
        .dataPoint(
            SummaryDataPointSnapshot.builder()
                .quantiles(Quantiles.of(quantiles))
                .count(millis.getTotalCount())
                .sum(millis.getMean() * millis.getTotalCount() / 1e3)
                .build())
        .build();
  }
}
