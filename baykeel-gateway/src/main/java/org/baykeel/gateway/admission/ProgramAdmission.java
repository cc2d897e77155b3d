package org.baykeel.gateway.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.baykeel.gateway.directory.EngineDirectory;
import org.baykeel.gateway.fairness.AdmissionShares;
import org.baykeel.gateway.telemetry.GatewayLog;

/**
 * Decides whether programs begin. One begins only if its end within its aim is predicted; nobody is
 * refused while the service has room. Work of programs that run is never refused here: a program
 * that began is worth its end, and one that has not begun costs least to send away.
 */
public final class ProgramAdmission {
  /** Below this multiple of the wanted first answer engines have time to spare. */
  private static final double SPARE_WAIT_TARGETS = 0.5;

  /** The least and the most that refused callers are asked to wait, before it is spread. */
  private static final double MIN_RETRY_MILLIS = 300;

  private static final double MAX_RETRY_MILLIS = 1_333;

  private final EngineDirectory engines;
  private final RandomGenerator random;
  private final AdmissionShares shares;
  private final AdmissionLog log;
  private final RetryDelay retryDelay;
  private final TurnPauses pauses = new TurnPauses();
  private final Map<String, ServiceAdmission> services = new HashMap<>();
  private final Map<String, ProgramProfile> profiles = new HashMap<>();

  /**
   * Creates an admission that has seen nothing.
   *
   * @param engines whose load and pace count
   * @param random sets this node's order of admission apart from that of others
   * @param shares spreads the share of programs that may begin over those who ask
   * @param log takes a line for each change
   */
  public ProgramAdmission(
      EngineDirectory engines, RandomGenerator random, AdmissionShares shares, GatewayLog log) {
    this.engines = engines;
    this.random = random;
    this.shares = shares;
    this.log = new AdmissionLog(log);
    this.retryDelay = new RetryDelay(random);
  }

  /** Creates an admission that gives everybody of a kind the same share. */
  public ProgramAdmission(EngineDirectory engines, RandomGenerator random, GatewayLog log) {
    this(engines, random, AdmissionShares.EVEN, log);
  }

  /** Spreads the times at which refused callers return. */
  public RetryDelay retryDelay() {
    return retryDelay;
  }

  /**
   * Whether every program of this kind may begin now, so that nothing is to be decided on a single
   * one.
   */
  public boolean unrestricted(AdmissionRequest request, long nowNanos) {
    boolean unrestricted = share(request, nowNanos) >= 1;
    if (unrestricted) {
      shares.shareOf(request.group(), 1, request.limitUse());
    }
    return unrestricted;
  }

  /**
   * Decides on a program that has not begun anywhere.
   *
   * @param requestId names its first turn in the log
   * @param program names it in the log
   */
  public AdmissionDecision decide(
      AdmissionRequest request, String requestId, String program, long nowNanos) {
    double share = share(request, nowNanos);
    if (share >= 1) {
      return new AdmissionDecision(AdmissionDecision.Cause.ADMITTED, 0);
    }
    RouteAdmission routeAdmission = routeAdmission(request);
    DurationPrediction prediction = routeAdmission.prediction();
    long remainingMillis = request.finishMillis();
    AdmissionDecision.Cause cause = AdmissionDecision.Cause.NO_ROOM;
    if (remainingMillis > 0 && remainingMillis < prediction.minRemainingMillis()) {
      cause = AdmissionDecision.Cause.TOO_LATE;
    } else if (routeAdmission.admitNext(
        shares.shareOf(request.group(), share, request.limitUse()))) {
      return new AdmissionDecision(AdmissionDecision.Cause.ADMITTED, 0);
    }
    double untilCapacityMillis = (1 - share) * routeAdmission.programMillis();
    long retryMillis =
        Math.round(Math.max(MIN_RETRY_MILLIS, Math.min(MAX_RETRY_MILLIS, untilCapacityMillis)));
    AdmissionDecision refusal = new AdmissionDecision(cause, retryDelay.jittered(retryMillis));
    log.logRefusal(
        request,
        requestId,
        program,
        share,
        prediction,
        service(request.service()).capacity(),
        refusal);
    return refusal;
  }

  private double share(AdmissionRequest request, long nowNanos) {
    ServiceAdmission service = service(request.service());
    RouteAdmission routeAdmission = routeAdmission(request);
    double share = service.share(routeAdmission, request.responseTargetMillis(), nowNanos);
    log.logShareChange(routeAdmission, share, service.capacity(), nowNanos);
    return share;
  }

  private RouteAdmission routeAdmission(AdmissionRequest request) {
    return service(request.service()).routeAdmission(request, profile(request.route()));
  }

  private ServiceAdmission service(String name) {
    return services.computeIfAbsent(name, key -> new ServiceAdmission(key, engines, random));
  }

  private ProgramProfile profile(String route) {
    return profiles.computeIfAbsent(route, key -> new ProgramProfile());
  }

  /** A program began. */
  public void programStarted(String route, long finishMillis, long nowNanos) {
    profile(route).programStarted(finishMillis, nowNanos);
  }

  /**
   * A turn of a program's first line came and is served.
   *
   * @param conversation identifies its line of turns
   */
  public void turnStarted(String route, String conversation, long nowNanos) {
    ProgramProfile profile = profile(route);
    profile.turnStarted(nowNanos);
    pauses.turnStarted(conversation, profile, nowNanos);
  }

  /** Whether this process lately served a turn of a line. */
  public boolean servedRecently(String conversation) {
    return pauses.servedRecently(conversation);
  }

  /** A turn that was told to have begun is over. */
  public void turnEnded(String conversation, long nowNanos) {
    pauses.turnEnded(conversation, nowNanos);
  }

  /** A line of turns called another service. */
  public void toolCalled(String conversation, String service) {
    pauses.toolCalled(conversation, service);
  }

  /** A request was sent to an engine; {@link #requestAnswered} follows. */
  public void requestSent(String service, long sentNanos) {
    service(service).localWait().sent(sentNanos);
  }

  /** A request that was sent got its first event, or came to nothing. */
  public void requestWaitEnded(String service, long sentNanos) {
    service(service).localWait().waitEnded(sentNanos);
  }

  /**
   * Notes how long a request waited at an engine beyond what its prompt explains.
   *
   * @param millis the wait; negative values count as none
   */
  public void observeWait(String service, double millis, long nowNanos) {
    service(service).observeWait(millis, nowNanos);
  }

  /**
   * Whether engines have time to spare for work that may turn out to be for nothing.
   *
   * @param responseTargetMillis the time within which the route wants an answer to begin
   */
  public boolean hasSpareCapacity(String service, long responseTargetMillis, long nowNanos) {
    return service(service).localWait().currentMillis(nowNanos)
        <= responseTargetMillis * SPARE_WAIT_TARGETS;
  }
}
