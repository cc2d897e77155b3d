package org.baykeel.gateway.ratelimit;

/**
 * An estimate of the number of running programs of one tenant and of the share of its limit that
 * they use.
 *
 * <p>A program requests few tokens at its start and the rest later, so the remaining tokens do not
 * show whether the limit suffices for another program. The limiter therefore uses the number of
 * running programs times the tokens that each of them usually takes. A program counts as one when
 * it is granted tokens, and its weight decays from then on, so finished programs stop counting
 * without a message about their end.
 */
final class RunningPrograms {
  /**
   * The time constant with which the weight of a program decays. A program without a request for
   * several such spans has most likely finished.
   */
  private static final double DECAY_NANOS = 5e8;

  /** The span over which the usual tokens and duration of a program are averaged. */
  private static final double AVERAGING_NANOS = 20e9;

  /**
   * The assumed remaining time of a running program relative to the average duration. Programs that
   * started in a burst have nearly their whole duration remaining, and the average duration is
   * underestimated while more programs start than finish.
   */
  private static final double REMAINING_PART_OF_DURATION = 1.5;

  /**
   * The number of standard deviations by which the number of running programs may exceed, by
   * chance, the number that the rate sustains.
   */
  private static final double DEVIATIONS = 1;

  private double running;
  private double programTokens;
  private double otherTokens;
  private double averagedTokens;
  private double averagedRunning;
  private double startsPerSecond;
  private long asOfNanos;

  /** Creates an estimate without running programs. */
  RunningPrograms(long nowNanos) {
    asOfNanos = nowNanos;
  }

  /** Returns the tokens that a running program usually takes within one decay span. */
  private double tokensPerProgram() {
    return averagedRunning > 0 ? averagedTokens / averagedRunning : 0;
  }

  /**
   * Returns how long a running program is assumed to continue to make requests. By Little's law the
   * average duration is the average number of running programs divided by the rate of starts.
   */
  private double remainingSeconds() {
    double durationSeconds = startsPerSecond > 0 ? averagedRunning / startsPerSecond : 0;
    return durationSeconds * REMAINING_PART_OF_DURATION;
  }

  /** Advances the averages and decays the counts to the given time. */
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
   * Records tokens that were granted to a program.
   *
   * @param tokens the number of tokens
   * @param silentNanos the time since tokens were last granted to the program; {@link
   *     Long#MAX_VALUE} if they never were
   */
  void recordGranted(int tokens, long silentNanos) {
    running -= Math.expm1(-silentNanos / DECAY_NANOS);
    programTokens += tokens;
    if (silentNanos == Long.MAX_VALUE) {
      startsPerSecond += 1 / (AVERAGING_NANOS * 1e-9);
    }
  }

  /** Records tokens that were granted to requests without a program. */
  void recordGrantedToOthers(int tokens) {
    otherTokens += tokens;
  }

  /**
   * Returns the tokens that must be available when one more program starts, so that all running
   * programs can finish: the tokens that they will request beyond what the rate supplies. Returns 0
   * while the number of running programs is within chance variation of what the rate sustains on
   * average.
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
