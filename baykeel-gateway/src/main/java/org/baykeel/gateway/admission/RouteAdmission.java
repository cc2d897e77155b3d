package org.baykeel.gateway.admission;

import org.baykeel.gateway.directory.ServicePerformance;

/** The admission state of the programs of one route and rank at one service. */
final class RouteAdmission {
  /**
   * The slack use (see {@link DurationPrediction}) at which refusals start, and the one at which
   * only the minimum share is admitted.
   */
  private static final double SLACK_USE_AT_FIRST_REFUSAL = 0.2;

  private static final double SLACK_USE_AT_MIN_SHARE = 0.7;

  /**
   * The same two bounds while the profile has too few observations: the excess of a turn over its
   * baseline time, in multiples of the response target.
   */
  private static final double EXCESS_AT_FIRST_REFUSAL = 0.25;

  private static final double EXCESS_AT_MIN_SHARE = 0.75;

  /** Refusals start earlier by this much for each rank below the most urgent one. */
  private static final double OFFSET_PER_RANK = 0.06;

  private static final double MAX_RANK_OFFSET = 0.18;

  /**
   * The assumed duration of a program while the profile has too few observations, in multiples of
   * the response target.
   */
  private static final double DEFAULT_PROGRAM_TARGETS = 4;

  /**
   * Without a recent load report a node has only the waits of its own requests, which are few and
   * known late; they are weighted by this factor.
   */
  private static final double NO_REPORT_FACTOR = 2;

  private static final long ACTIVE_NANOS = 5_000_000_000L;

  private final String route;
  private final int rank;
  private final ProgramProfile profile;
  private final BaselineTimes baseline = new BaselineTimes();
  private final AdmittedShare share;
  private long responseTargetMillis;
  private long requestedNanos;
  private DurationPrediction prediction;

  RouteAdmission(String route, int rank, ProgramProfile profile, double firstCredit) {
    this.route = route;
    this.rank = rank;
    this.profile = profile;
    this.share = new AdmittedShare(firstCredit);
  }

  String route() {
    return route;
  }

  int rank() {
    return rank;
  }

  ProgramProfile profile() {
    return profile;
  }

  DurationPrediction prediction() {
    return prediction;
  }

  long responseTargetMillis() {
    return responseTargetMillis;
  }

  /** Records a request to start a program of this route. */
  void onRequest(long responseTarget, long nowNanos) {
    responseTargetMillis = Math.max(1, responseTarget);
    requestedNanos = nowNanos;
  }

  /** Whether a start was requested within the last 5 s. */
  boolean active(long nowNanos) {
    return nowNanos - requestedNanos < ACTIVE_NANOS;
  }

  /**
   * Updates prediction and share from the present state of the service.
   *
   * @param waitMillis how long a turn waits for a slot
   * @param loadRecent whether recent load reports are available, by which free slots are judged
   * @param hasCapacity whether the service has capacity for any program
   */
  void update(
      ServicePerformance performance,
      double waitMillis,
      boolean loadRecent,
      boolean hasCapacity,
      long nowNanos) {
    if (hasCapacity) {
      baseline.observe(DurationPrediction.workMillis(performance), profile.pauseMillis(), nowNanos);
    }
    prediction = DurationPrediction.of(profile, baseline, performance, waitMillis, nowNanos);
    share.update(hasCapacity ? 1 : targetShare(loadRecent), programMillis(), nowNanos);
  }

  private double targetShare(boolean loadRecent) {
    double factor = loadRecent ? 1 : NO_REPORT_FACTOR;
    double rankOffset = Math.min(MAX_RANK_OFFSET, rank * OFFSET_PER_RANK);
    if (prediction.slackUse().isPresent()) {
      return shareBetween(
          prediction.slackUse().getAsDouble() * factor + rankOffset,
          SLACK_USE_AT_FIRST_REFUSAL,
          SLACK_USE_AT_MIN_SHARE);
    }
    double slowerMillis = loadRecent ? prediction.excessWorkMillis() : 0;
    double excessMillis = prediction.waitMillis() * factor + slowerMillis;
    return shareBetween(
        excessMillis / responseTargetMillis * (1 + rankOffset),
        EXCESS_AT_FIRST_REFUSAL,
        EXCESS_AT_MIN_SHARE);
  }

  private static double shareBetween(double value, double atFirstRefusal, double atMinShare) {
    return Math.max(0, Math.min(1, (atMinShare - value) / (atMinShare - atFirstRefusal)));
  }

  /** The share that the prediction for this route allows. */
  double ownShare() {
    return share.share();
  }

  /**
   * Returns whether the next program is admitted.
   *
   * @param tenantShare the share of the programs of its tenant that are admitted
   */
  boolean admitNext(double tenantShare) {
    return share.admitNext(tenantShare);
  }

  /** The predicted duration of a program, in milliseconds. */
  double programMillis() {
    return prediction.programMillis(responseTargetMillis * DEFAULT_PROGRAM_TARGETS);
  }
}
