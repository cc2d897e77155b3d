package org.baykeel.gateway.storage;

/**
 * Whether this process reaches the store, from the outcomes of its own calls. Used only from the
 * event loop.
 */
public final class StoreHealth {
  /** Consecutive failures after which the store counts as unreachable. */
  private static final int FAILURES_UNTIL_UNREACHABLE = 2;

  /**
   * Failures do not make the store unreachable within this time after a successful call, since in a
   * partial outage only the calls to some partitions fail.
   */
  private static final long PARTIAL_OUTAGE_NANOS = 250_000_000L;

  private int consecutiveFailures;
  private boolean unreachable;
  private long lastAnswerNanos;
  private long lastFailureNanos;
  private boolean answered;
  private boolean failed;

  /** Records a call that the store answered. */
  public void answered(long nowNanos) {
    consecutiveFailures = 0;
    unreachable = false;
    lastAnswerNanos = nowNanos;
    answered = true;
  }

  /** Records a call that the store refused or did not answer. */
  public void failed(long nowNanos) {
    consecutiveFailures++;
    boolean partialOutage = nanosSinceAnswer(nowNanos) < PARTIAL_OUTAGE_NANOS;
    unreachable =
        unreachable || consecutiveFailures >= FAILURES_UNTIL_UNREACHABLE && !partialOutage;
    lastFailureNanos = nowNanos;
    failed = true;
  }

  /** Whether calls are expected to succeed now; false before the first answered call. */
  public boolean reachable() {
    return answered && !unreachable;
  }

  /** Nanoseconds since the last answered call; {@link Long#MAX_VALUE} if there was none. */
  public long nanosSinceAnswer(long nowNanos) {
    return answered ? nowNanos - lastAnswerNanos : Long.MAX_VALUE;
  }

  /** Nanoseconds since the last failed call; {@link Long#MAX_VALUE} if there was none. */
  public long nanosSinceFailure(long nowNanos) {
    return failed ? nowNanos - lastFailureNanos : Long.MAX_VALUE;
  }
}
