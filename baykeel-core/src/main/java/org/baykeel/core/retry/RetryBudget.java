package org.baykeel.core.retry;

/**
 * Bounds retries to a share of first attempts, so that retries cannot multiply the load on back
 * ends that already fail.
 */
public final class RetryBudget {
  private static final double MAXIMUM_TOKENS = 10;

  private final double tokensPerAttempt;
  private double tokens = MAXIMUM_TOKENS;

  /**
   * A budget that starts full.
   *
   * @param tokensPerAttempt retries earned by each first attempt, such as 0.2
   */
  public RetryBudget(double tokensPerAttempt) {
    this.tokensPerAttempt = tokensPerAttempt;
  }

  /** Notes a first attempt. */
  public void firstAttempt() {
    tokens = Math.min(MAXIMUM_TOKENS, tokens + tokensPerAttempt);
  }

  /** Takes the right to one retry if there is one. */
  public boolean tryRetry() {
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }
}
