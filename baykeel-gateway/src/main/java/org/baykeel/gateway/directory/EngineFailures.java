package org.baykeel.gateway.directory;

import java.util.concurrent.TimeUnit;

/**
 * The recent failures of one engine. An engine is on probation after a single failure; one that
 * fails twice in a row is suspect, for longer each time this happens again.
 */
final class EngineFailures {
  private static final long FIRST_PENALTY_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
  private static final long SERVER_ERROR_PENALTY_NANOS = TimeUnit.MILLISECONDS.toNanos(30);
  private static final long MAX_PENALTY_NANOS = TimeUnit.SECONDS.toNanos(4);
  private static final long PROBATION_NANOS = TimeUnit.SECONDS.toNanos(2);
  private static final int FAILURES_UNTIL_SUSPECT = 2;
  private static final long FIRST_SUSPICION_NANOS = TimeUnit.SECONDS.toNanos(2);
  private static final int MAX_SUSPICION_DOUBLINGS = 2;

  /** How long the first suspicion of a peer counts at this node. */
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

  /**
   * Records a failure. The engine is avoided for a time that doubles with each failure until the
   * engine completes a request.
   */
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

  /** Records that a peer suspects the engine. */
  void suspectedByPeer(long nowNanos) {
    suspect(nowNanos, FIRST_PEER_SUSPICION_NANOS, !suspectAt(nowNanos));
  }

  /**
   * Makes the engine suspect, or extends the suspicion.
   *
   * @param firstNanos how long it is suspect the first time
   * @param again whether this is a new occasion, which doubles the time, or the same one continuing
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

  /** Records that the engine responded with an error of its own; it is avoided briefly. */
  void serverErrorReceived(long nowNanos) {
    avoidUntilNanos = Math.max(avoidUntilNanos, nowNanos + SERVER_ERROR_PENALTY_NANOS);
    penalized = true;
  }

  /**
   * Records a complete response: the engine is no longer avoided, but earlier failures still count.
   */
  void succeeded() {
    penaltyNanos = FIRST_PENALTY_NANOS;
    penalized = false;
    consecutiveFailures = 0;
  }

  boolean suspectAt(long nowNanos) {
    return everSuspect && nowNanos - suspectUntilNanos < 0;
  }

  EngineHealth health(long nowNanos) {
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
