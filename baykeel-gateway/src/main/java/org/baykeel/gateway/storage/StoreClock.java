package org.baykeel.gateway.storage;

/**
 * Bounds on the offset between this process's monotonic clock and the store's clock, whose time is
 * in the store's responses. Each call bounds the offset on both sides, since the response was made
 * after the request was sent and before the response arrived.
 *
 * <p>Both clocks are assumed to run at the same rate for the lifetime of the process.
 */
public final class StoreClock {
  private static final long NANOS_PER_MILLI = 1_000_000;

  private boolean known;

  /** Upper bound of the store's time minus this process's time. */
  private long highestOffsetNanos;

  /** Lower bound of the store's time minus this process's time. */
  private long lowestOffsetNanos;

  /**
   * Records the store's time in a response.
   *
   * @param sentNanos this process's time when the request was sent
   * @param receivedNanos this process's time when the response was read
   * @param storeMillis the store's time in the response, rounded down to milliseconds
   */
  public void observe(long sentNanos, long receivedNanos, long storeMillis) {
    long highest = (storeMillis + 1) * NANOS_PER_MILLI - sentNanos;
    long lowest = storeMillis * NANOS_PER_MILLI - receivedNanos;
    highestOffsetNanos = known ? Math.min(highestOffsetNanos, highest) : highest;
    lowestOffsetNanos = known ? Math.max(lowestOffsetNanos, lowest) : lowest;
    known = true;
  }

  /** Whether the store's time was observed at least once; the bounds are undefined before. */
  public boolean known() {
    return known;
  }

  /**
   * Returns a time of this process's clock that is not later than a given time of the store's
   * clock.
   *
   * @param storeMillis a time of the store's clock
   */
  public long earliestNanos(long storeMillis) {
    return storeMillis * NANOS_PER_MILLI - highestOffsetNanos;
  }

  /**
   * Returns the earliest time that the store's clock may show, in milliseconds.
   *
   * @param nanos a time of this process's clock
   */
  public long earliestStoreMillis(long nanos) {
    return Math.floorDiv(nanos + lowestOffsetNanos, NANOS_PER_MILLI);
  }

  /**
   * Returns the latest time that the store's clock may show, in milliseconds.
   *
   * @param nanos a time of this process's clock
   */
  public long latestStoreMillis(long nanos) {
    return Math.floorDiv(nanos + highestOffsetNanos, NANOS_PER_MILLI) + 1;
  }
}
