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
  private static final double SPARE_TARGETS = 0.5;

  /** The least and the most that refused callers are asked to wait, before it is spread. */
  private static final double LEAST_RETRY_MILLIS = 300;

  private static final double MOST_RETRY_MILLIS = 1_333;

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
  public boolean unrestricted(AdmissionRequest opening, long nowNanos) {
    boolean unrestricted = share(opening, nowNanos) >= 1;
    if (unrestricted) {
      shares.shareOf(opening.group(), 1, opening.use());
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
      AdmissionRequest opening, String requestId, String program, long nowNanos) {
    double share = share(opening, nowNanos);
    if (share >= 1) {
      return new AdmissionDecision(AdmissionDecision.Cause.ADMITTED, 0);
    }
    RouteAdmission kind = kind(opening);
    DurationPrediction prediction = kind.prediction();
    long left = opening.finishMillis();
    AdmissionDecision.Cause cause = AdmissionDecision.Cause.NO_ROOM;
    if (left > 0 && left < prediction.leastMillis()) {
      cause = AdmissionDecision.Cause.TOO_LATE;
    } else if (kind.admits(shares.shareOf(opening.group(), share, opening.use()))) {
      return new AdmissionDecision(AdmissionDecision.Cause.ADMITTED, 0);
    }
    double untilRoomMillis = (1 - share) * kind.programMillis();
    long retryMillis =
        Math.round(Math.max(LEAST_RETRY_MILLIS, Math.min(MOST_RETRY_MILLIS, untilRoomMillis)));
    AdmissionDecision refused = new AdmissionDecision(cause, retryDelay.around(retryMillis));
    log.refused(
        opening, requestId, program, share, prediction, service(opening.service()).room(), refused);
    return refused;
  }

  private double share(AdmissionRequest opening, long nowNanos) {
    ServiceAdmission service = service(opening.service());
    RouteAdmission kind = kind(opening);
    double share = service.share(kind, opening.targetMillis(), nowNanos);
    log.shared(kind, share, service.room(), nowNanos);
    return share;
  }

  private RouteAdmission kind(AdmissionRequest opening) {
    return service(opening.service()).kind(opening, profile(opening.kind()));
  }

  private ServiceAdmission service(String name) {
    return services.computeIfAbsent(name, key -> new ServiceAdmission(key, engines, random));
  }

  private ProgramProfile profile(String kind) {
    return profiles.computeIfAbsent(kind, key -> new ProgramProfile());
  }

  /** A program began. */
  public void programOpened(String kind, long finishMillis, long nowNanos) {
    profile(kind).programOpened(finishMillis, nowNanos);
  }

  /**
   * A turn of a program's first line came and is served.
   *
   * @param line identifies its line of turns
   */
  public void turnBegan(String kind, String line, long nowNanos) {
    ProgramProfile profile = profile(kind);
    profile.turnBegan(nowNanos);
    pauses.turnBegan(line, profile, nowNanos);
  }

  /** Whether this process lately served a turn of a line. */
  public boolean served(String line) {
    return pauses.served(line);
  }

  /** A turn that was told to have begun is over. */
  public void turnEnded(String line, long nowNanos) {
    pauses.turnEnded(line, nowNanos);
  }

  /** A line of turns called another service. */
  public void toolUsed(String line, String service) {
    pauses.toolUsed(line, service);
  }

  /** A request was sent to an engine; {@link #requestAnswered} follows. */
  public void requestSent(String service, long sentNanos) {
    service(service).ownWait().sent(sentNanos);
  }

  /** A request that was sent got its first event, or came to nothing. */
  public void requestAnswered(String service, long sentNanos) {
    service(service).ownWait().answered(sentNanos);
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
   * @param targetMillis the time within which the route wants an answer to begin
   */
  public boolean hasSpareCapacity(String service, long targetMillis, long nowNanos) {
    return service(service).ownWait().presentMillis(nowNanos) <= targetMillis * SPARE_TARGETS;
  }
}
