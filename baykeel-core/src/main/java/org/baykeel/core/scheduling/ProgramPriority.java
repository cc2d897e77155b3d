package org.baykeel.core.scheduling;

/**
 * Orders waiting calls: the operator's class first, then programs that have attained least service,
 * in doubling steps, with ageing so that a long program is not starved (compare Autellix).
 */
public final class ProgramPriority {
  private static final long AGEING_MILLIS_PER_LEVEL = 2_000;
  private static final int CLASS_WEIGHT = 1_000;

  private ProgramPriority() {}

  /** Rank of a call; lower goes first. */
  public static long rank(WaitingCall call, long nowMillis) {
    long level = 64 - Long.numberOfLeadingZeros(call.attainedService());
    long aged = level - (nowMillis - call.waitingSinceMillis()) / AGEING_MILLIS_PER_LEVEL;
    long bounded = Math.max(-(CLASS_WEIGHT / 2) + 1, aged);
    return (long) call.classPriority() * CLASS_WEIGHT + bounded;
  }
}
