package org.baykeel.gateway.admission;

import java.util.random.RandomGenerator;

/** Spreads the times after which refused callers are to return, so that they come apart. */
public final class RetryDelay {
  private static final double MIN_FACTOR = 0.5;

  private final RandomGenerator random;

  /**
   * Creates a source of delays.
   *
   * @param random picks each delay
   */
  public RetryDelay(RandomGenerator random) {
    this.random = random;
  }

  /**
   * A delay drawn evenly from half to one and a half of a usual one.
   *
   * @param meanMillis the mean; 0 stands for no advice and stays 0
   */
  public long jittered(long meanMillis) {
    return meanMillis <= 0 ? 0 : Math.round(meanMillis * (MIN_FACTOR + random.nextDouble()));
  }
}
