package org.baykeel.gateway.storage;

/**
 * What this process knows about its path to the store, from the outcomes of its own calls. Used
 * only from the event loop.
 */
public final class StoreHealth {
  /** Consecutive failures after which the store counts as unreachable. */
  private static final int FAILURES_UNTIL_UNREACHABLE = 2;

  /**
   * While something was answered so lately the store counts as reachable, whatever failed since: it
   * may be away in part.
   */
  private static final long PARTIAL_OUTAGE_NANOS = 250_000_000L;

  private int consecutiveFailures;
  private boolean unreachable;
  private long lastAnswerNanos;
  private long lastFailureNanos;
  private boolean answered;
  private boolean failed;

  /** Notes an answer. */
  public void answered(long nowNanos) {
    consecutiveFailures = 0;
    unreachable = false;
    lastAnswerNanos = nowNanos;
    answered = true;
  }

  /** Notes a refusal or a missing answer. */
  public void failed(long nowNanos) {
    consecutiveFailures++;
    boolean partialOutage = nanosSinceAnswer(nowNanos) < PARTIAL_OUTAGE_NANOS;
    unreachable =
        unreachable || consecutiveFailures >= FAILURES_UNTIL_UNREACHABLE && !partialOutage;
    lastFailureNanos = nowNanos;
    failed = true;
  }

  /** Whether calls are expected to succeed now. */
  public boolean reachable() {
    return answered && !unreachable;
  }

  /** Nanoseconds since the last answer; {@link Long#MAX_VALUE} if there was none. */
  public long nanosSinceAnswer(long nowNanos) {
    return answered ? nowNanos - lastAnswerNanos : Long.MAX_VALUE;
  }

  /** Nanoseconds since the last failure; {@link Long#MAX_VALUE} if there was none. */
  public long nanosSinceFailure(long nowNanos) {
    return failed ? nowNanos - lastFailureNanos : Long.MAX_VALUE;
  }
}
