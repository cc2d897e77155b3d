package org.baykeel.gateway.directory;

import java.util.concurrent.TimeUnit;

/**
 * The recent failures of one engine. Failures close to each other are one episode; an engine that
 * goes down and up by turns has one episode after the other, and each doubles its probation.
 */
final class EngineFailures {
  private static final long FIRST_PENALTY_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
  private static final long LONGEST_PENALTY_NANOS = TimeUnit.SECONDS.toNanos(4);
  private static final long EPISODE_GAP_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
  private static final long FIRST_PROBATION_NANOS = TimeUnit.SECONDS.toNanos(2);
  private static final int MAX_PROBATION_DOUBLINGS = 2;

  /** After this time without a failure the next one counts as the first. */
  private static final long FORGET_NANOS = TimeUnit.SECONDS.toNanos(12);

  private long avoidUntilNanos;
  private long penaltyNanos = FIRST_PENALTY_NANOS;
  private boolean penalized;
  private long lastFailureNanos;
  private int episodes;

  /** Notes a failure: the engine is avoided for a time that doubles until it serves again. */
  void failed(long nowNanos) {
    avoidUntilNanos = nowNanos + penaltyNanos;
    penaltyNanos = Math.min(LONGEST_PENALTY_NANOS, penaltyNanos * 2);
    penalized = true;
    noteEpisode(nowNanos);
  }

  private void noteEpisode(long nowNanos) {
    long sinceLast = nowNanos - lastFailureNanos;
    if (episodes == 0 || sinceLast > FORGET_NANOS) {
      episodes = 1;
    } else if (sinceLast > EPISODE_GAP_NANOS) {
      episodes++;
    }
    lastFailureNanos = nowNanos;
  }

  /** Notes that the engine said it was full: it is avoided briefly. */
  void full(long nowNanos, long millis) {
    avoidUntilNanos = Math.max(avoidUntilNanos, nowNanos + TimeUnit.MILLISECONDS.toNanos(millis));
    penalized = true;
  }

  /** Notes a whole answer: the engine is no longer avoided; its probation goes on. */
  void succeeded() {
    penaltyNanos = FIRST_PENALTY_NANOS;
    penalized = false;
  }

  EngineStanding standing(long nowNanos) {
    if (penalized && nowNanos - avoidUntilNanos < 0) {
      return EngineStanding.AVOIDED;
    }
    return onProbation(nowNanos) ? EngineStanding.PROBATION : EngineStanding.TRUSTED;
  }

  private boolean onProbation(long nowNanos) {
    if (episodes == 0) {
      return false;
    }
    int doublings = Math.min(episodes - 1, MAX_PROBATION_DOUBLINGS);
    return nowNanos - lastFailureNanos < FIRST_PROBATION_NANOS << doublings;
  }
}
