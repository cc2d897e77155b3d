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
  private static final double SPAN_NANOS = 5e8;

  /** The span over which a program's usual tokens and time are averaged. */
  private static final double AVERAGING_NANOS = 20e9;

  /**
   * Programs that began in a rush have nearly all of their time before them, and the time that they
   * take is seen too short while more begin than end.
   */
  private static final double REST_PART_OF_LIFE = 1.5;

  /** By so many standard deviations more programs than the rate serves may run by chance. */
  private static final double DEVIATIONS = 1;

  private double running;
  private double programTokens;
  private double otherTokens;
  private double averagedTokens;
  private double averagedRunning;
  private double beginningsPerSecond;
  private long asOfNanos;

  /** Creates a view in which nothing runs. */
  RunningPrograms(long nowNanos) {
    asOfNanos = nowNanos;
  }

  /** The tokens that a program that runs usually takes in a span. */
  private double tokensEach() {
    return averagedRunning > 0 ? averagedTokens / averagedRunning : 0;
  }

  /** How long programs go on asking: as many run as begin while one of them runs. */
  private double restSeconds() {
    double life = beginningsPerSecond > 0 ? averagedRunning / beginningsPerSecond : 0;
    return life * REST_PART_OF_LIFE;
  }

  /** Lets the time come. */
  void advance(long nowNanos) {
    double nanos = Math.max(0, nowNanos - asOfNanos);
    asOfNanos = nowNanos;
    double weight = -Math.expm1(-nanos / AVERAGING_NANOS);
    averagedTokens += weight * (programTokens - averagedTokens);
    averagedRunning += weight * (running - averagedRunning);
    beginningsPerSecond -= weight * beginningsPerSecond;
    double left = Math.exp(-nanos / SPAN_NANOS);
    running *= left;
    programTokens *= left;
    otherTokens *= left;
  }

  /**
   * Notes tokens that were given to a program.
   *
   * @param silentNanos how long it had not been heard of; {@link Long#MAX_VALUE} if never
   */
  void given(int tokens, long silentNanos) {
    running -= Math.expm1(-silentNanos / SPAN_NANOS);
    programTokens += tokens;
    if (silentNanos == Long.MAX_VALUE) {
      beginningsPerSecond += 1 / (AVERAGING_NANOS * 1e-9);
    }
  }

  /** Notes tokens for requests that belong to no program. */
  void givenToOthers(int tokens) {
    otherTokens += tokens;
  }

  /**
   * The tokens that must be there when one more program begins, so that all that run get to their
   * end: what they will ask for beyond what the rate brings. None, while no more run than may by
   * chance where the rate is enough on average.
   *
   * @param tokensPerSecond the limit's rate
   */
  double neededForAnother(double tokensPerSecond) {
    double each = tokensEach() / (SPAN_NANOS * 1e-9);
    if (each <= 0) {
      return 0;
    }
    double others = otherTokens / (SPAN_NANOS * 1e-9);
    double fitting = Math.max(0, tokensPerSecond - others) / each;
    double another = running + 1;
    return another <= fitting + DEVIATIONS * Math.sqrt(fitting)
        ? 0
        : (another - fitting) * each * restSeconds();
  }
}
