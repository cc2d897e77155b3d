package org.baykeel.gateway.ratelimit;

/**
 * The programs of one tenant that run, and how much of its limit they use.
 *
 * <p>A program that begins asks for little at first and for its rest later, so the tokens that are
 * left do not tell whether there is room for it. What does is how many programs run times the
 * tokens that each of them usually takes. A program is counted in full when it is heard of and less
 * from then on, so that those that ended drop out by themselves.
 */
final class RunningPrograms {
  /** The rest of a program is most likely over when it was silent for several such spans. */
  private static final double DECAY_NANOS = 5e8;

  /** The span over which a program's usual tokens and time are averaged. */
  private static final double AVERAGING_NANOS = 20e9;

  /**
   * Programs that began in a rush have nearly all of their time before them, and the time that they
   * take is seen too short while more begin than end.
   */
  private static final double REMAINING_PART_OF_DURATION = 1.5;

  /** By so many standard deviations more programs than the rate serves may run by chance. */
  private static final double DEVIATIONS = 1;

  private double running;
  private double programTokens;
  private double otherTokens;
  private double averagedTokens;
  private double averagedRunning;
  private double startsPerSecond;
  private long asOfNanos;

  /** Creates a view in which nothing runs. */
  RunningPrograms(long nowNanos) {
    asOfNanos = nowNanos;
  }

  /** The tokens that a program that runs usually takes in a span. */
  private double tokensPerProgram() {
    return averagedRunning > 0 ? averagedTokens / averagedRunning : 0;
  }

  /** How long programs go on asking: as many run as begin while one of them runs. */
  private double remainingSeconds() {
    double durationSeconds = startsPerSecond > 0 ? averagedRunning / startsPerSecond : 0;
    return durationSeconds * REMAINING_PART_OF_DURATION;
  }

  /** Lets the time come. */
  void advance(long nowNanos) {
    double nanos = Math.max(0, nowNanos - asOfNanos);
    asOfNanos = nowNanos;
    double weight = -Math.expm1(-nanos / AVERAGING_NANOS);
    averagedTokens += weight * (programTokens - averagedTokens);
    averagedRunning += weight * (running - averagedRunning);
    startsPerSecond -= weight * startsPerSecond;
    double decay = Math.exp(-nanos / DECAY_NANOS);
    running *= decay;
    programTokens *= decay;
    otherTokens *= decay;
  }

  /**
   * Notes tokens that were given to a program.
   *
   * @param silentNanos how long it had not been heard of; {@link Long#MAX_VALUE} if never
   */
  void recordGranted(int tokens, long silentNanos) {
    running -= Math.expm1(-silentNanos / DECAY_NANOS);
    programTokens += tokens;
    if (silentNanos == Long.MAX_VALUE) {
      startsPerSecond += 1 / (AVERAGING_NANOS * 1e-9);
    }
  }

  /** Notes tokens for requests that belong to no program. */
  void recordGrantedToOthers(int tokens) {
    otherTokens += tokens;
  }

  /**
   * The tokens that must be there when one more program begins, so that all that run get to their
   * end: what they will ask for beyond what the rate brings. None, while no more run than may by
   * chance where the rate is enough on average.
   *
   * @param tokensPerSecond the limit's rate
   */
  double tokensNeededForAnother(double tokensPerSecond) {
    double tokensPerProgramSecond = tokensPerProgram() / (DECAY_NANOS * 1e-9);
    if (tokensPerProgramSecond <= 0) {
      return 0;
    }
    double otherTokensPerSecond = otherTokens / (DECAY_NANOS * 1e-9);
    double sustainable =
        Math.max(0, tokensPerSecond - otherTokensPerSecond) / tokensPerProgramSecond;
    double another = running + 1;
    return another <= sustainable + DEVIATIONS * Math.sqrt(sustainable)
        ? 0
        : (another - sustainable) * tokensPerProgramSecond * remainingSeconds();
  }
}
