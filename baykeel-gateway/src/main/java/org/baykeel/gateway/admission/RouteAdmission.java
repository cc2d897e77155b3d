package org.baykeel.gateway.admission;

import org.baykeel.gateway.directory.ServicePerformance;

/** What is known and decided of the programs of one kind and rank at one service. */
final class RouteAdmission {
  /** Where refusals begin, and where only the least share may begin, in parts of the slack. */
  private static final double SLACK_USE_AT_FIRST_REFUSAL = 0.2;

  private static final double SLACK_USE_AT_MIN_SHARE = 0.7;

  /**
   * The same for kinds of which too little was seen: what a turn takes beyond its usual time, in
   * multiples of the wanted first answer.
   */
  private static final double EXCESS_AT_FIRST_REFUSAL = 0.25;

  private static final double EXCESS_AT_MIN_SHARE = 0.75;

  /** Refusals begin so much earlier for each rank below the most urgent. */
  private static final double OFFSET_PER_RANK = 0.06;

  private static final double MAX_RANK_OFFSET = 0.18;

  /** The program time of a kind of which too little was seen, in wanted first answers. */
  private static final double DEFAULT_PROGRAM_TARGETS = 4;

  /** What a node sees of its own is late and of few requests: it counts for so much more. */
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

  /** A program of this kind asks to begin. */
  void onRequest(long responseTarget, long nowNanos) {
    responseTargetMillis = Math.max(1, responseTarget);
    requestedNanos = nowNanos;
  }

  /** Whether a program of this kind asked lately. */
  boolean active(long nowNanos) {
    return nowNanos - requestedNanos < ACTIVE_NANOS;
  }

  /**
   * Adopts the present state of its service.
   *
   * @param waitMillis the wait of a turn for a place
   * @param loadKnown whether a recent view of the engines' load tells that places are few
   * @param hasCapacity whether there is room for any program
   */
  void update(
      ServicePerformance performance,
      double waitMillis,
      boolean loadKnown,
      boolean hasCapacity,
      long nowNanos) {
    if (hasCapacity) {
      baseline.observe(DurationPrediction.workMillis(performance), profile.pauseMillis(), nowNanos);
    }
    prediction = DurationPrediction.of(profile, baseline, performance, waitMillis, nowNanos);
    share.update(hasCapacity ? 1 : targetShare(loadKnown), programMillis(), nowNanos);
  }

  private double targetShare(boolean loadKnown) {
    double factor = loadKnown ? 1 : NO_REPORT_FACTOR;
    double rankOffset = Math.min(MAX_RANK_OFFSET, rank * OFFSET_PER_RANK);
    if (prediction.slackUse().isPresent()) {
      return shareBetween(
          prediction.slackUse().getAsDouble() * factor + rankOffset,
          SLACK_USE_AT_FIRST_REFUSAL,
          SLACK_USE_AT_MIN_SHARE);
    }
    double slowerMillis = loadKnown ? prediction.excessWorkMillis() : 0;
    double excessMillis = prediction.waitMillis() * factor + slowerMillis;
    return shareBetween(
        excessMillis / responseTargetMillis * (1 + rankOffset),
        EXCESS_AT_FIRST_REFUSAL,
        EXCESS_AT_MIN_SHARE);
  }

  private static double shareBetween(double value, double atFirstRefusal, double atMinShare) {
    return Math.max(0, Math.min(1, (atMinShare - value) / (atMinShare - atFirstRefusal)));
  }

  /** The share that its own prediction allows. */
  double ownShare() {
    return share.share();
  }

  /** Whether the next program may begin, if this share of them may. */
  boolean admitNext(double tenantShare) {
    return share.admitNext(tenantShare);
  }

  /** The predicted time of a program, in milliseconds. */
  double programMillis() {
    return prediction.programMillis(responseTargetMillis * DEFAULT_PROGRAM_TARGETS);
  }
}
