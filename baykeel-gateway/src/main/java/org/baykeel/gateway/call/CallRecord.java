package org.baykeel.gateway.call;

import java.util.EnumMap;
import java.util.List;
import org.baykeel.gateway.configuration.Route;
import org.baykeel.gateway.directory.Engine;
import org.baykeel.gateway.directory.PromptPart;
import org.baykeel.gateway.directory.SoftwareVersion;
import org.baykeel.gateway.program.RequestFingerprint;
import org.baykeel.gateway.runtime.EventLoop;
import org.baykeel.gateway.scheduling.EngineSelector;
import org.baykeel.gateway.telemetry.GatewayEvent;
import org.baykeel.gateway.telemetry.GatewayLog;
import org.baykeel.gateway.telemetry.GatewayMetrics;
import org.baykeel.gateway.telemetry.LogText;
import org.baykeel.gateway.urgency.Urgency;

/** Records one call for the log and the metrics. */
final class CallRecord {
  private final CallRequest request;
  private final GatewayLog log;
  private final GatewayMetrics metrics;
  private final EventLoop eventLoop;
  private final EnumMap<Wait, Long> startedNanos = new EnumMap<>(Wait.class);
  private final EnumMap<Wait, Long> waitedMillis = new EnumMap<>(Wait.class);
  private String tenant = "none";
  private String lastEngine = "none";
  private String lastVersion = "none";
  private int uncachedTokens;
  private int lastRank = Urgency.UNRANKED;
  private ConnectionUse responseUse = ConnectionUse.NONE;
  private String signature;

  /** The reasons for which a call waits, other than its engine. */
  enum Wait {
    /**
     * The check of its key, a token of its tenant's limit and the admission decision on its
     * program.
     */
    ADMISSION,
    /** The lookup of the software version at which the stream that it resumes began. */
    STREAM_VERSION,
    /** The store's decision on its tokens. */
    GRANT,
    /** The lookup of the turns that it continues. */
    HISTORY,
    /** The storing of its turn. */
    STORE_TURN
  }

  /**
   * The end of a call.
   *
   * @param route its route, or null
   * @param status the status sent to the caller; 0 if its stream was cut
   * @param outcome a short phrase for the log
   * @param firstEventNanos when its first event arrived; 0 if none did
   * @param sends how often it was sent to an engine
   * @param runs how many of the sends may have run
   * @param events the number of events sent to the caller
   */
  record End(
      Route route,
      int status,
      String outcome,
      long firstEventNanos,
      int sends,
      int runs,
      int events) {
    boolean success() {
      return status >= 200 && status < 300;
    }
  }

  CallRecord(CallRequest request, GatewayLog log, GatewayMetrics metrics, EventLoop eventLoop) {
    this.request = request;
    this.log = log;
    this.metrics = metrics;
    this.eventLoop = eventLoop;
  }

  /** Sets the tenant's name for the log. */
  void setTenant(String name) {
    tenant = name;
  }

  void waitStarted(Wait wait) {
    startedNanos.put(wait, eventLoop.nanoTime());
  }

  void waitEnded(Wait wait) {
    Long began = startedNanos.remove(wait);
    if (began != null) {
      waitedMillis.merge(wait, (eventLoop.nanoTime() - began) / 1_000_000, Long::sum);
    }
  }

  private long waited(Wait wait) {
    waitEnded(wait);
    return waitedMillis.getOrDefault(wait, 0L);
  }

  void sentTo(EngineSelector.Choice choice, List<PromptPart> prompt, int rank) {
    lastRank = rank;
    metrics.requestRanked(rank);
    Engine engine = choice.engine();
    lastEngine = engine.record().id();
    lastVersion = version(engine);
    uncachedTokens = engine.cachedPrefixes().uncachedTokens(prompt);
    metrics.requestSent(choice.locality());
    if (!choice.locality().inRegion()) {
      log.write(
          GatewayEvent.SPILLED_TO_REGION,
          "id",
          request.attributes().requestId(),
          "engine",
          lastEngine,
          "zone",
          engine.record().zone(),
          "predicted_ms",
          Math.round(choice.predictedMillis()),
          "here_ms",
          Math.round(choice.inRegionMillis()));
    }
  }

  private static String version(Engine engine) {
    return engine.record().softwareVersion().map(SoftwareVersion::toString).orElse("unknown");
  }

  /**
   * Records an attempt that brought no whole response.
   *
   * @param fingerprint the work of the call, or null if it was not needed so far
   */
  void attemptEnded(
      EngineAttempt attempt, String outcome, int eventsPassed, RequestFingerprint fingerprint) {
    metrics.attemptFailed();
    log.write(
        GatewayEvent.ATTEMPT_ENDED,
        "id",
        request.attributes().requestId(),
        "engine",
        attempt.engine().record().id(),
        "version",
        version(attempt.engine()),
        "connection",
        attempt.connectionUse().connection(),
        "exchange",
        attempt.connectionUse().exchange(),
        "outcome",
        outcome,
        "ms",
        (eventLoop.nanoTime() - attempt.startedNanos()) / 1_000_000,
        "events",
        eventsPassed,
        "work",
        fingerprint);
  }

  /**
   * Records that the call is not sent, since too many engines may still end under it.
   *
   * @param runs how many sends of the call may have run
   * @param retryMillis when it may be sent again, in milliseconds from now
   */
  void held(RequestFingerprint fingerprint, int runs, long retryMillis) {
    log.write(
        GatewayEvent.REQUEST_HELD,
        "id",
        request.attributes().requestId(),
        "work",
        fingerprint,
        "runs",
        runs,
        "retry_ms",
        retryMillis);
  }

  /** Records the attempt whose response is passed on. */
  void responseTaken(EngineAttempt attempt) {
    responseUse = attempt.connectionUse();
    signature = LogText.bounded(attempt.signature());
  }

  void callEnded(End end) {
    CallAttributes attributes = request.attributes();
    long received = request.receivedNanos();
    long millis = (eventLoop.nanoTime() - received) / 1_000_000;
    long firstMillis =
        end.firstEventNanos() == 0 ? -1 : (end.firstEventNanos() - received) / 1_000_000;
    metrics.callEnded(end.status(), millis, firstMillis);
    log.write(
        end.success() ? GatewayEvent.CALL_ENDED : GatewayEvent.CALL_REFUSED,
        "id",
        attributes.requestId(),
        "route",
        end.route() == null ? "none" : end.route().name(),
        "tenant",
        tenant,
        "program",
        attributes.programId(),
        "session",
        attributes.sessionId(),
        "status",
        end.status(),
        "outcome",
        end.outcome(),
        "ms",
        millis,
        "first_ms",
        firstMillis,
        "finish_ms",
        attributes.finishMillis(),
        "admission_ms",
        waited(Wait.ADMISSION),
        "version_ms",
        waited(Wait.STREAM_VERSION),
        "grant_ms",
        waited(Wait.GRANT),
        "history_ms",
        waited(Wait.HISTORY),
        "keep_ms",
        waited(Wait.STORE_TURN),
        "sends",
        end.sends(),
        "engine",
        lastEngine,
        "version",
        lastVersion,
        "resumes",
        attributes.resumedRequestId(),
        "from_event",
        attributes.lastEventId(),
        "rank",
        lastRank,
        "prompt",
        PromptPart.totalTokens(attributes.prompt()),
        "unread",
        uncachedTokens,
        "runs",
        end.runs(),
        "events",
        end.events(),
        "connection",
        responseUse.connection(),
        "exchange",
        responseUse.exchange(),
        "skipped",
        responseUse.skipped(),
        "signature",
        signature);
  }
}
