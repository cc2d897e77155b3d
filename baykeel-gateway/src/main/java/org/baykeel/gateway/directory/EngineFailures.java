package org.baykeel.gateway.directory;

import java.util.concurrent.TimeUnit;

/**
 * The recent failures of one engine. One that fails now and then is on probation; one that fails
 * twice in a row is suspect, for longer each time it happens again.
 */
final class EngineFailures {
  private static final long FIRST_PENALTY_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
  private static final long SERVER_ERROR_PENALTY_NANOS = TimeUnit.MILLISECONDS.toNanos(30);
  private static final long MAX_PENALTY_NANOS = TimeUnit.SECONDS.toNanos(4);
  private static final long PROBATION_NANOS = TimeUnit.SECONDS.toNanos(2);
  private static final int FAILURES_UNTIL_SUSPECT = 2;
  private static final long FIRST_SUSPICION_NANOS = TimeUnit.SECONDS.toNanos(2);
  private static final int MAX_SUSPICION_DOUBLINGS = 2;

  /** How long the first suspicion of another node counts here. */
  private static final long FIRST_PEER_SUSPICION_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  /** After this time without a suspicion the next one counts as the first. */
  private static final long FORGET_NANOS = TimeUnit.SECONDS.toNanos(12);

  private long avoidUntilNanos;
  private long penaltyNanos = FIRST_PENALTY_NANOS;
  private boolean penalized;
  private boolean everFailed;
  private long lastFailureNanos;
  private int consecutiveFailures;
  private boolean everSuspect;
  private long suspectUntilNanos;
  private int suspicions;

  /** Notes a failure: the engine is avoided for a time that doubles until it serves again. */
  void failed(long nowNanos) {
    avoidUntilNanos = nowNanos + penaltyNanos;
    penaltyNanos = Math.min(MAX_PENALTY_NANOS, penaltyNanos * 2);
    penalized = true;
    everFailed = true;
    lastFailureNanos = nowNanos;
    consecutiveFailures++;
    if (consecutiveFailures >= FAILURES_UNTIL_SUSPECT) {
      suspect(nowNanos, FIRST_SUSPICION_NANOS, consecutiveFailures == FAILURES_UNTIL_SUSPECT);
    }
  }

  /** Notes that another node suspects the engine. */
  void suspectedByPeer(long nowNanos) {
    suspect(nowNanos, FIRST_PEER_SUSPICION_NANOS, !suspectAt(nowNanos));
  }

  /**
   * Makes the engine suspect, or extends that.
   *
   * @param firstNanos how long it is suspect the first time
   * @param again whether this is a new occasion, which doubles the time, or the same one going on
   */
  private void suspect(long nowNanos, long firstNanos, boolean again) {
    if (!everSuspect || nowNanos - suspectUntilNanos > FORGET_NANOS) {
      suspicions = 1;
      suspectUntilNanos = nowNanos;
    } else if (again) {
      suspicions++;
    }
    everSuspect = true;
    int doublings = Math.min(suspicions - 1, MAX_SUSPICION_DOUBLINGS);
    suspectUntilNanos = Math.max(suspectUntilNanos, nowNanos + (firstNanos << doublings));
  }

  /** Notes that the engine answered with a fault of its own: it is avoided briefly. */
  void serverErrorReceived(long nowNanos) {
    avoidUntilNanos = Math.max(avoidUntilNanos, nowNanos + SERVER_ERROR_PENALTY_NANOS);
    penalized = true;
  }

  /** Notes a whole answer: the engine is no longer avoided; what it did before still counts. */
  void succeeded() {
    penaltyNanos = FIRST_PENALTY_NANOS;
    penalized = false;
    consecutiveFailures = 0;
  }

  boolean suspectAt(long nowNanos) {
    return everSuspect && nowNanos - suspectUntilNanos < 0;
  }

  EngineHealth standing(long nowNanos) {
    if (penalized && nowNanos - avoidUntilNanos < 0) {
      return EngineHealth.AVOIDED;
    }
    if (suspectAt(nowNanos)) {
      return EngineHealth.SUSPECT;
    }
    boolean failedRecently = everFailed && nowNanos - lastFailureNanos < PROBATION_NANOS;
    return failedRecently ? EngineHealth.PROBATION : EngineHealth.HEALTHY;
  }
}
