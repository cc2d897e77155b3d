package org.baykeel.gateway.storage;

/**
 * Bounds between this process's steady clock and the store's, which its answers tell. Each call
 * gives both: the answer was made after the call was sent and before it arrived.
 *
 * <p>Both clocks are assumed to run at the same speed while a process lives.
 */
public final class StoreClock {
  private static final long NANOS_PER_MILLI = 1_000_000;

  private boolean known;

  /** The store's time less this process's is at most this. */
  private long highestOffsetNanos;

  /** The store's time less this process's is at least this. */
  private long lowestOffsetNanos;

  /**
   * Notes an answer.
   *
   * @param sentNanos when the call was sent
   * @param receivedNanos when the answer was read
   * @param storeMillis the store's time in the answer, rounded down
   */
  public void observe(long sentNanos, long receivedNanos, long storeMillis) {
    long highest = (storeMillis + 1) * NANOS_PER_MILLI - sentNanos;
    long lowest = storeMillis * NANOS_PER_MILLI - receivedNanos;
    highestOffsetNanos = known ? Math.min(highestOffsetNanos, highest) : highest;
    lowestOffsetNanos = known ? Math.max(lowestOffsetNanos, lowest) : lowest;
    known = true;
  }

  /** Whether an answer was noted. */
  public boolean known() {
    return known;
  }

  /**
   * A moment of this process's clock that is not after a moment of the store's.
   *
   * @param storeMillis a moment of the store's clock
   */
  public long earliestNanos(long storeMillis) {
    return storeMillis * NANOS_PER_MILLI - highestOffsetNanos;
  }

  /**
   * What the store's clock shows at the least.
   *
   * @param nanos a moment of this process's clock
   */
  public long earliestStoreMillis(long nanos) {
    return Math.floorDiv(nanos + lowestOffsetNanos, NANOS_PER_MILLI);
  }

  /**
   * What the store's clock shows at the most.
   *
   * @param nanos a moment of this process's clock
   */
  public long latestStoreMillis(long nanos) {
    return Math.floorDiv(nanos + highestOffsetNanos, NANOS_PER_MILLI) + 1;
  }
}
