package org.baykeel.gateway.admission;

import java.util.HashMap;
import java.util.Map;
import org.baykeel.gateway.telemetry.GatewayEvent;
import org.baykeel.gateway.telemetry.GatewayLog;

/** Tells of refusals and of changes of shares; of changes at most once a second for each kind. */
final class AdmissionLog {
  private static final long SHORTEST_NANOS = 1_000_000_000L;

  private final GatewayLog log;
  private final Map<RouteAdmission, Told> toldByKind = new HashMap<>();

  private record Told(double share, long nanos) {}

  AdmissionLog(GatewayLog log) {
    this.log = log;
  }

  void refused(
      AdmissionRequest opening,
      String requestId,
      String program,
      double share,
      DurationPrediction prediction,
      ServiceCapacity room,
      AdmissionDecision judgement) {
    log.write(
        GatewayEvent.PROGRAM_REFUSED,
        "id",
        requestId,
        "program",
        program,
        "route",
        opening.kind(),
        "tenant",
        opening.caller().name(),
        "cause",
        judgement.cause(),
        "share",
        rounded(share),
        "ratio",
        rounded(prediction.ratio().orElse(-1)),
        "slack_use",
        rounded(prediction.slackUse().orElse(-1)),
        "wait_ms",
        Math.round(prediction.waitMillis()),
        "turn_ms",
        Math.round(prediction.turnMillis()),
        "pause_ms",
        Math.round(prediction.pauseMillis()),
        "turns",
        rounded(prediction.turns()),
        "aim_ms",
        Math.round(prediction.aimMillis()),
        "finish_ms",
        opening.finishMillis(),
        "occupancy",
        rounded(room.known() ? room.occupancy() : -1),
        "view_age_ms",
        room.ageMillis(),
        "retry_ms",
        judgement.retryMillis());
  }

  void shared(RouteAdmission kind, double share, ServiceCapacity room, long nowNanos) {
    Told told = toldByKind.get(kind);
    double before = told == null ? 1 : told.share();
    boolean due = told == null || nowNanos - told.nanos() >= SHORTEST_NANOS;
    if (before == share || !due) {
      return;
    }
    toldByKind.put(kind, new Told(share, nowNanos));
    DurationPrediction prediction = kind.prediction();
    log.write(
        GatewayEvent.ADMISSION_CHANGED,
        "route",
        kind.kind(),
        "rank",
        kind.rank(),
        "from",
        rounded(before),
        "to",
        rounded(share),
        "ratio",
        rounded(prediction.ratio().orElse(-1)),
        "slack_use",
        rounded(prediction.slackUse().orElse(-1)),
        "wait_ms",
        Math.round(prediction.waitMillis()),
        "turn_ms",
        Math.round(prediction.turnMillis()),
        "pause_ms",
        Math.round(prediction.pauseMillis()),
        "occupancy",
        rounded(room.known() ? room.occupancy() : -1),
        "view_age_ms",
        room.ageMillis());
  }

  private static double rounded(double value) {
    return Math.round(value * 1e3) / 1e3;
  }
}
