package org.baykeel.gateway.admission;

import java.util.HashMap;
import java.util.Map;
import org.baykeel.gateway.telemetry.GatewayEvent;
import org.baykeel.gateway.telemetry.GatewayLog;

/**
 * Logs refusals and changes of admitted shares. A change is logged at most once per second for each
 * route and rank.
 */
final class AdmissionLog {
  private static final long MIN_INTERVAL_NANOS = 1_000_000_000L;

  private final GatewayLog log;
  private final Map<RouteAdmission, LoggedShare> lastLoggedByRoute = new HashMap<>();

  private record LoggedShare(double share, long nanos) {}

  AdmissionLog(GatewayLog log) {
    this.log = log;
  }

  void logRefusal(
      AdmissionRequest request,
      String requestId,
      String program,
      double share,
      DurationPrediction prediction,
      ServiceCapacity capacity,
      AdmissionDecision decision) {
    log.write(
        GatewayEvent.PROGRAM_REFUSED,
        "id",
        requestId,
        "program",
        program,
        "route",
        request.route(),
        "tenant",
        request.caller().name(),
        "cause",
        decision.cause(),
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
        Math.round(prediction.finishTargetMillis()),
        "finish_ms",
        request.finishMillis(),
        "occupancy",
        rounded(capacity.known() ? capacity.occupancy() : -1),
        "view_age_ms",
        capacity.ageMillis(),
        "retry_ms",
        decision.retryMillis());
  }

  void logShareChange(RouteAdmission route, double share, ServiceCapacity capacity, long nowNanos) {
    LoggedShare last = lastLoggedByRoute.get(route);
    double before = last == null ? 1 : last.share();
    boolean due = last == null || nowNanos - last.nanos() >= MIN_INTERVAL_NANOS;
    if (before == share || !due) {
      return;
    }
    lastLoggedByRoute.put(route, new LoggedShare(share, nowNanos));
    DurationPrediction prediction = route.prediction();
    log.write(
        GatewayEvent.ADMISSION_CHANGED,
        "route",
        route.route(),
        "rank",
        route.rank(),
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
        rounded(capacity.known() ? capacity.occupancy() : -1),
        "view_age_ms",
        capacity.ageMillis());
  }

  private static double rounded(double value) {
    return Math.round(value * 1e3) / 1e3;
  }
}
