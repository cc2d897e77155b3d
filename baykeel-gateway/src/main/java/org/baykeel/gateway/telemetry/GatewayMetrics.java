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
import java.util.function.ToLongFunction;
import org.HdrHistogram.Histogram;
import org.baykeel.gateway.topology.Locality;

/**
 * Counters and latency histograms of the gateway. They are updated on the event loop as plain
 * numbers; the metrics library is loaded only when the metrics are first requested.
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
  private final Map<String, long[]> rejections = new TreeMap<>();
  private final Map<String, long[]> conversationRefusals = new TreeMap<>();
  private final Map<String, LongSupplier> gauges = new TreeMap<>();
  private final Map<String, long[]> programs = new TreeMap<>();
  private final LoopWork work = new LoopWork();
  private long engineConnections;
  private long engineConnectionsToReport;
  private long failedAttempts;

  /**
   * Records the end of a call.
   *
   * @param status the status that the caller received; 0 if its stream was interrupted
   * @param millis the time from the last byte of the call's request to its end, in milliseconds
   * @param firstMillis the time from the last byte of the request to the first event of the
   *     response, in milliseconds; negative if there was no event
   */
  public void callEnded(int status, long millis, long firstMillis) {
    callsByStatus.computeIfAbsent(status, key -> new long[1])[0]++;
    callMillis.recordValue(Math.min(MAX_RECORDED_MILLIS, Math.max(0, millis)));
    if (firstMillis >= 0) {
      firstEventMillis.recordValue(Math.min(MAX_RECORDED_MILLIS, firstMillis));
    }
  }

  /** Counts an attempt by the locality of the engine relative to this node. */
  public void requestSent(Locality locality) {
    sendsByLocality
        .computeIfAbsent(locality.name().toLowerCase(Locale.ROOT), key -> new long[1])[0]++;
  }

  /**
   * Counts an attempt by its rank in the engine's queue; a negative rank, of an attempt without
   * one, is not counted.
   */
  public void requestRanked(int rank) {
    if (rank >= 0) {
      sendsByRank.computeIfAbsent(rank, key -> new long[1])[0]++;
    }
  }

  /** Counts an attempt without a complete response. */
  public void attemptFailed() {
    failedAttempts++;
  }

  /**
   * Counts a call to the store.
   *
   * @param purpose the kind of call and the table, one of a small set of values
   */
  public void storeCalled(String purpose) {
    storeCalls.computeIfAbsent(purpose, key -> new long[1])[0]++;
    storeCallsToReport.computeIfAbsent(purpose, key -> new long[1])[0]++;
  }

  /** The counters of the tenants' rate limits. */
  public enum LimitFigure {
    /** Requests that used a token of a slice lent to this node earlier. */
    FROM_SLICE,
    /** Tokens taken from a bucket that this node holds. */
    FROM_OWN_BUCKET,
    /** Requests of started programs that waited for their token. */
    WAITED,
    /** Tokens lent to other nodes. */
    GIVEN_TO_NODES,
    /** Tokens that arrived too late or expired unused. */
    LOST,
    /** Requests refused because they exceed their tenant's limit. */
    REFUSED,
    /** Requests for which no holder of the limit could be queried in time. */
    UNDECIDED
  }

  /**
   * Adds to a counter of the rate limits.
   *
   * @param count the number to add; 0 or less adds nothing
   */
  public void limitCounted(LimitFigure figure, long count) {
    if (count > 0) {
      String label = figure.name().toLowerCase(Locale.ROOT);
      limitFigures.computeIfAbsent(label, key -> new long[1])[0] += count;
    }
  }

  /** The causes for which a request or a connection is rejected before a call begins. */
  public enum RequestRejection {
    /** The request does not obey the protocol. */
    MALFORMED,
    /** Its request line and fields, or its trailer fields, exceed the limit. */
    HEAD_TOO_LARGE,
    /** Its body exceeds the limit. */
    BODY_TOO_LARGE,
    /** Its chunks are too small for the length of the body. */
    CHUNKS_TOO_SMALL,
    /** The memory for the requests of all callers is used up. */
    NO_MEMORY,
    /** Its head was not complete in time. */
    HEAD_TOO_SLOW,
    /** Its body made no progress, or too little. */
    BODY_TOO_SLOW,
    /** There are too many connections of callers. */
    TOO_MANY_CONNECTIONS,
    /** The node stops. */
    STOPPING;

    /** Returns the name in metrics and logs. */
    public String label() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  /** Counts a request or a connection that is rejected before a call begins. */
  public void requestRejected(RequestRejection cause) {
    rejections.computeIfAbsent(cause.label(), key -> new long[1])[0]++;
  }

  /** The causes for which a turn is refused for the length of its conversation. */
  public enum ConversationRefusal {
    /** The memory for conversations is in use. */
    NO_ROOM,
    /** The conversation is longer than a node can hold. */
    TOO_LONG
  }

  /** Counts a turn that is refused for the length of its conversation. */
  public void conversationRefused(ConversationRefusal cause) {
    String label = cause.name().toLowerCase(Locale.ROOT);
    conversationRefusals.computeIfAbsent(label, key -> new long[1])[0]++;
  }

  /**
   * Counts a checked key.
   *
   * @param verdict the result of the check, one of a small set of values
   */
  public void keyChecked(String verdict) {
    keyVerdicts.computeIfAbsent(verdict, key -> new long[1])[0]++;
  }

  /**
   * Counts an admission decision on a program.
   *
   * @param outcome admitted, or the cause of the refusal; one of a small set of values
   */
  public void admissionDecided(String outcome) {
    programs.computeIfAbsent(outcome, key -> new long[1])[0]++;
  }

  /**
   * Registers a gauge that is read on each request for the metrics.
   *
   * @param name the name of the metric, with its unit
   * @param value returns the current value
   */
  public void gauge(String name, LongSupplier value) {
    gauges.put(name, value);
  }

  /** Returns what the event loop spends its time on. */
  public LoopWork work() {
    return work;
  }

  /** Counts a connection opened to an engine. */
  public void engineConnectionOpened() {
    engineConnections++;
    engineConnectionsToReport++;
  }

  /**
   * Logs the store calls and the connections to engines since the last usage event, if there were
   * any.
   */
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

  /** Logs what the event loop has spent its time on since the last such event. */
  public void reportWork(GatewayLog log) {
    log.write(GatewayEvent.LOOP_WORK, work.report().toArray());
  }

  /** Returns all metrics in the Prometheus text format. */
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
            counters(
                "baykeel_gateway_requests_rejected",
                "Requests and connections rejected before a call began, by cause",
                "cause",
                rejections),
            counters(
                "baykeel_gateway_conversations_refused",
                "Turns refused for the length of their conversation, by cause",
                "cause",
                conversationRefusals),
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
    workSnapshots().forEach(snapshots::metricSnapshot);
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try {
      new PrometheusTextFormatWriter(false).write(out, snapshots.build());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return out.toByteArray();
  }

  /** Returns what the process spends its time on. */
  private List<MetricSnapshot> workSnapshots() {
    return List.of(
        loopWork(
            "baykeel_gateway_loop_milliseconds",
            "Time of the event loop by kind of work",
            work::millis),
        loopWork(
            "baykeel_gateway_loop_pieces", "Pieces of work of the event loop by kind", work::count),
        counters(
            "baykeel_gateway_peer_messages",
            "Messages of other nodes by type",
            "type",
            work.messages()),
        counter(
            "baykeel_gateway_processor_milliseconds",
            "Processor time of the process",
            LoopWork.processorMillis()));
  }

  private static GaugeSnapshot gaugeSnapshot(String name, LongSupplier value) {
    return GaugeSnapshot.builder()
        .name(name)
        .help("As of now")
        .dataPoint(GaugeSnapshot.GaugeDataPointSnapshot.builder().value(value.getAsLong()).build())
        .build();
  }

  private static CounterSnapshot loopWork(
      String name, String help, ToLongFunction<LoopWork.Kind> reading) {
    Map<String, long[]> byKind = new TreeMap<>();
    for (LoopWork.Kind kind : LoopWork.Kind.values()) {
      byKind.put(kind.label(), new long[] {reading.applyAsLong(kind)});
    }
    return counters(name, help, "kind", byKind);
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
