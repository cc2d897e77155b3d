package org.baykeel.gateway.admission;

import org.baykeel.gateway.directory.ServicePerformance;

/** What is known and decided of the programs of one kind and rank at one service. */
final class RouteAdmission {
  /** Where refusals begin, and where only the least share may begin, in parts of the slack. */
  private static final double SLACK_BEGIN = 0.2;

  private static final double SLACK_END = 0.7;

  /**
   * The same for kinds of which too little was seen: what a turn takes beyond its usual time, in
   * multiples of the wanted first answer.
   */
  private static final double WAIT_BEGIN = 0.25;

  private static final double WAIT_END = 0.75;

  /** Refusals begin so much earlier for each rank below the most urgent. */
  private static final double EARLIER_PER_RANK = 0.06;

  private static final double MOST_EARLIER = 0.18;

  /** The program time of a kind of which too little was seen, in wanted first answers. */
  private static final double UNKNOWN_PROGRAM_TARGETS = 4;

  /** What a node sees of its own is late and of few requests: it counts for so much more. */
  private static final double UNSEEN_CAUTION = 2;

  private static final long RECENT_NANOS = 5_000_000_000L;

  private final String kind;
  private final int rank;
  private final ProgramProfile profile;
  private final BaselineTimes usual = new BaselineTimes();
  private final AdmittedShare share;
  private long targetMillis;
  private long askedNanos;
  private DurationPrediction prediction;

  RouteAdmission(String kind, int rank, ProgramProfile profile, double firstCredit) {
    this.kind = kind;
    this.rank = rank;
    this.profile = profile;
    this.share = new AdmittedShare(firstCredit);
  }

  String kind() {
    return kind;
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

  long targetMillis() {
    return targetMillis;
  }

  /** A program of this kind asks to begin. */
  void asked(long target, long nowNanos) {
    targetMillis = Math.max(1, target);
    askedNanos = nowNanos;
  }

  /** Whether a program of this kind asked lately. */
  boolean recent(long nowNanos) {
    return nowNanos - askedNanos < RECENT_NANOS;
  }

  /**
   * Adopts the present state of its service.
   *
   * @param waitMillis the wait of a turn for a place
   * @param viewed whether a recent view of the engines' load tells that places are few
   * @param room whether there is room for any program
   */
  void follow(
      ServicePerformance performance,
      double waitMillis,
      boolean viewed,
      boolean room,
      long nowNanos) {
    if (room) {
      usual.observe(DurationPrediction.workMillis(performance), profile.pauseMillis(), nowNanos);
    }
    prediction = DurationPrediction.of(profile, usual, performance, waitMillis, nowNanos);
    share.follow(room ? 1 : target(viewed), programMillis(), nowNanos);
  }

  private double target(boolean viewed) {
    double caution = viewed ? 1 : UNSEEN_CAUTION;
    double earlier = Math.min(MOST_EARLIER, rank * EARLIER_PER_RANK);
    if (prediction.slackUse().isPresent()) {
      return between(
          prediction.slackUse().getAsDouble() * caution + earlier, SLACK_BEGIN, SLACK_END);
    }
    double slowerMillis = viewed ? prediction.slowerMillis() : 0;
    double excessMillis = prediction.waitMillis() * caution + slowerMillis;
    return between(excessMillis / targetMillis * (1 + earlier), WAIT_BEGIN, WAIT_END);
  }

  private static double between(double value, double begin, double full) {
    return Math.max(0, Math.min(1, (full - value) / (full - begin)));
  }

  /** The share that its own prediction allows. */
  double ownShare() {
    return share.share();
  }

  /** Whether the next program may begin, if this share of them may. */
  boolean admits(double shareOfThese) {
    return share.admits(shareOfThese);
  }

  /** The predicted time of a program, in milliseconds. */
  double programMillis() {
    return prediction.programMillis(targetMillis * UNKNOWN_PROGRAM_TARGETS);
  }
}
