package org.baykeel.gateway.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.baykeel.gateway.directory.EngineDirectory;
import org.baykeel.gateway.fairness.AdmissionShares;
import org.baykeel.gateway.telemetry.GatewayLog;

/**
 * Decides whether programs may start. No program is refused while the service has capacity; under
 * load, the share of programs that may start follows from how far programs are predicted to exceed
 * their baseline duration, compared with the slack up to their finish target. Turns of running
 * programs are never refused here: a refusal would waste the work that was done for them, whereas a
 * refusal before the first turn costs least.
 */
public final class ProgramAdmission {
  /** Engines have spare capacity while the wait is below this multiple of the response target. */
  private static final double SPARE_WAIT_TARGETS = 0.5;

  /** Bounds of the retry delay of refused callers, before jitter. */
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
   * Creates an admission without observations.
   *
   * @param engines the engines whose load and speed count
   * @param random makes this node's sequence of admissions differ from that of others
   * @param shares distributes the admitted share among the tenants
   * @param log receives a line for each refusal and change of a share
   */
  public ProgramAdmission(
      EngineDirectory engines, RandomGenerator random, AdmissionShares shares, GatewayLog log) {
    this.engines = engines;
    this.random = random;
    this.shares = shares;
    this.log = new AdmissionLog(log);
    this.retryDelay = new RetryDelay(random);
  }

  /** Creates an admission that gives all tenants the same share. */
  public ProgramAdmission(EngineDirectory engines, RandomGenerator random, GatewayLog log) {
    this(engines, random, AdmissionShares.EVEN, log);
  }

  /** Returns the source of the retry delays of refused callers. */
  public RetryDelay retryDelay() {
    return retryDelay;
  }

  /**
   * Returns whether all programs of this route may start now, so that no decision on the single
   * program is needed; the program is then counted for the distribution among the tenants.
   */
  public boolean unrestricted(AdmissionRequest request, long nowNanos) {
    boolean unrestricted = share(request, nowNanos) >= 1;
    if (unrestricted) {
      shares.shareOf(request.group(), 1, request.limitUse());
    }
    return unrestricted;
  }

  /**
   * Decides on a program that has not started at any node.
   *
   * @param requestId the identifier of its first turn, for the log
   * @param program the identifier of the program, for the log
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

  /** Records that a program started. */
  public void programStarted(String route, long finishMillis, long nowNanos) {
    profile(route).programStarted(finishMillis, nowNanos);
  }

  /**
   * Records that a turn of a program's first conversation arrived and is served.
   *
   * @param conversation the identifier of the conversation
   */
  public void turnStarted(String route, String conversation, long nowNanos) {
    ProgramProfile profile = profile(route);
    profile.turnStarted(nowNanos);
    pauses.turnStarted(conversation, profile, nowNanos);
  }

  /** Whether a conversation is among those that this node served last. */
  public boolean servedRecently(String conversation) {
    return pauses.servedRecently(conversation);
  }

  /** Records that a turn ended for which {@link #turnStarted} was called. */
  public void turnEnded(String conversation, long nowNanos) {
    pauses.turnEnded(conversation, nowNanos);
  }

  /** Records that a conversation called another service. */
  public void toolCalled(String conversation, String service) {
    pauses.toolCalled(conversation, service);
  }

  /** Records that a request was sent to an engine; {@link #requestWaitEnded} follows. */
  public void requestSent(String service, long sentNanos) {
    service(service).localWait().sent(sentNanos);
  }

  /** Records that a sent request got its first event or ended without one. */
  public void requestWaitEnded(String service, long sentNanos) {
    service(service).localWait().waitEnded(sentNanos);
  }

  /**
   * Records how long a request waited at an engine beyond the time that its prompt explains.
   *
   * @param millis the wait; negative values count as 0
   */
  public void observeWait(String service, double millis, long nowNanos) {
    service(service).observeWait(millis, nowNanos);
  }

  /**
   * Whether engines have spare capacity for work whose result may have to be discarded.
   *
   * @param responseTargetMillis the route's response target, in milliseconds
   */
  public boolean hasSpareCapacity(String service, long responseTargetMillis, long nowNanos) {
    return service(service).localWait().currentMillis(nowNanos)
        <= responseTargetMillis * SPARE_WAIT_TARGETS;
  }
}
