package org.baykeel.gateway.admission;

import java.util.random.RandomGenerator;

/** Adds jitter to retry delays, so that refused callers do not return at the same time. */
public final class RetryDelay {
  private static final double MIN_FACTOR = 0.5;

  private final RandomGenerator random;

  /**
   * Creates a source of delays.
   *
   * @param random draws each delay
   */
  public RetryDelay(RandomGenerator random) {
    this.random = random;
  }

  /**
   * Returns a delay drawn uniformly from 0.5 to 1.5 times the mean.
   *
   * @param meanMillis the mean, in milliseconds; 0 or less means no retry delay, and the result is
   *     0
   */
  public long jittered(long meanMillis) {
    return meanMillis <= 0 ? 0 : Math.round(meanMillis * (MIN_FACTOR + random.nextDouble()));
  }
}
