package org.baykeel.gateway.http;

import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.baykeel.gateway.directory.Engine;
import org.baykeel.gateway.directory.EngineRecord;
import org.baykeel.gateway.load.LoadQueryResult;
import org.baykeel.gateway.load.LoadReport;
import org.baykeel.gateway.load.LoadReportClient;
import org.baykeel.gateway.load.LoadReportFormat;
import org.baykeel.gateway.remote.StoreCall;
import org.baykeel.gateway.remote.StoreReply;
import org.baykeel.gateway.telemetry.GatewayLog;
import org.baykeel.gateway.telemetry.GatewayMetrics;
import org.baykeel.gateway.topology.RoundTrips;

/**
 * Queries engines for their load over one connection to each. The connection to an engine that is
 * no longer queried is closed, since engines count their connections.
 */
public final class HttpLoadReportClient implements LoadReportClient {
  /** The time an engine may take to respond, in addition to the round trip. */
  private static final long RESPONSE_MILLIS = 100;

  private static final int OK = 200;
  private static final int MAX_REPORT_BYTES = 1 << 20;

  /**
   * The lowest status of a temporary failure. An engine that fails or starts responds with such a
   * status for some time and returns reports afterwards.
   */
  private static final int SERVER_ERROR = 500;

  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long SWEEP_MILLIS = 1_000;

  /** Longer than the slow interval between queries to an engine. */
  private static final long IDLE_NANOS = 3_000_000_000L;

  private final EventLoopGroup group;
  private final LoadReportFormat format;
  private final RoundTrips roundTrips;
  private final GatewayMetrics metrics;
  private final GatewayLog log;
  private final Map<String, QueriedEngine> queriedById = new HashMap<>();

  /** An engine that is queried. */
  private static final class QueriedEngine {
    private final EngineRecord record;
    private final PooledHttpClient client;
    private boolean queryInProgress;
    private long sentNanos;

    QueriedEngine(EngineRecord record, PooledHttpClient client) {
      this.record = record;
      this.client = client;
    }

    boolean isAt(EngineRecord other) {
      return record.host().equals(other.host()) && record.port() == other.port();
    }
  }

  /**
   * Creates a client without connections.
   *
   * @param format the path and the encoding of reports
   * @param roundTrips the round trips to engines
   * @param metrics counts the connections that are opened
   */
  public HttpLoadReportClient(
      EventLoopGroup group,
      LoadReportFormat format,
      RoundTrips roundTrips,
      GatewayMetrics metrics,
      GatewayLog log) {
    this.group = group;
    this.format = format;
    this.roundTrips = roundTrips;
    this.metrics = metrics;
    this.log = log;
    group
        .next()
        .scheduleWithFixedDelay(this::sweep, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
  }

  @Override
  public void query(Engine engine, Consumer<LoadQueryResult> callback) {
    QueriedEngine queried = queriedAt(engine.record());
    if (queried.queryInProgress) {
      group
          .next()
          .execute(
              () ->
                  callback.accept(
                      new LoadQueryResult.NoResponse("a query is already in progress")));
      return;
    }
    queried.queryInProgress = true;
    queried.sentNanos = System.nanoTime();
    long timeoutMillis =
        (long) Math.ceil(roundTrips.millisTo(engine.record().zone())) + RESPONSE_MILLIS;
    queried.client.call(
        new StoreCall(StoreCall.Method.GET, format.path(), null, timeoutMillis, false),
        reply -> {
          queried.queryInProgress = false;
          callback.accept(read(reply, queried.sentNanos));
        });
  }

  /** Returns the state of an engine; an engine whose address has changed gets a new client. */
  private QueriedEngine queriedAt(EngineRecord record) {
    QueriedEngine known = queriedById.get(record.id());
    if (known != null && known.isAt(record)) {
      return known;
    }
    if (known != null) {
      known.client.closeIdle();
    }
    InetSocketAddress address = InetSocketAddress.createUnresolved(record.host(), record.port());
    PooledHttpClient client =
        new PooledHttpClient(
                group, address, "engine", MAX_REPORT_BYTES, metrics::engineConnectionOpened, log)
            .measuredBy(metrics.work());
    QueriedEngine queried = new QueriedEngine(record, client);
    queriedById.put(record.id(), queried);
    return queried;
  }

  private LoadQueryResult read(StoreReply reply, long sentNanos) {
    if (reply instanceof StoreReply.Answered answered) {
      if (answered.status() >= SERVER_ERROR) {
        return new LoadQueryResult.NoResponse("status " + answered.status());
      }
      if (answered.status() != OK) {
        return new LoadQueryResult.Unavailable("status " + answered.status());
      }
      Optional<LoadReport> report = format.decode(answered.body());
      long asOf = sentNanos - format.lagMillis() * NANOS_PER_MILLI;
      return report
          .<LoadQueryResult>map(decoded -> new LoadQueryResult.Reported(decoded, asOf))
          .orElseGet(() -> new LoadQueryResult.Unavailable("response holds no usable report"));
    }
    return reply instanceof StoreReply.Lost lost
        ? new LoadQueryResult.NoResponse(lost.reason())
        : new LoadQueryResult.NoResponse(((StoreReply.NotSent) reply).reason());
  }

  private void sweep() {
    long now = System.nanoTime();
    for (Iterator<QueriedEngine> all = queriedById.values().iterator(); all.hasNext(); ) {
      QueriedEngine queried = all.next();
      if (!queried.queryInProgress && now - queried.sentNanos >= IDLE_NANOS) {
        queried.client.closeIdle();
        all.remove();
      }
    }
  }
}
