package org.baykeel.gateway.directory;

/**
 * When an engine that said it was full is expected to have a place. Used only from the event loop.
 *
 * <p>One request of this process finds out: while it is on its way the next place is expected a
 * place's time later. Each further word of the engine that it is full doubles that time, up to a
 * few answers' time, and less the more requests wait at this process, so that processes get places
 * by what waits at each. An answer of the engine halves it, and so tells of a place at once. A
 * report of the engine's load that is newer than its word shows a place earlier.
 */
public final class EngineCapacity {
  private static final double MIN_INTERVAL_MILLIS = 10;

  /** The longest time until a place is expected, in answers, while few requests wait here. */
  private static final double MAX_INTERVAL_RESPONSES = 4;

  /** As many waiting requests halve that time. */
  private static final double HALVING_REQUESTS = 16;

  /** After this time without a further word an engine that was full counts as any other. */
  private static final long REPORT_VALID_NANOS = 1_000_000_000L;

  private final LoadEstimate load;
  private boolean everFull;
  private long reportedFullNanos;
  private long slotIntervalNanos;
  private long nextCapacityNanos;
  private int requestsWhenFull;

  EngineCapacity(LoadEstimate load) {
    this.load = load;
  }

  /**
   * The engine said that it is full.
   *
   * @param responseMillis the usual time of an answer
   * @param slots requests that it works on at once
   * @param waiting requests that wait for a place at this process
   */
  public void reportedFull(double responseMillis, int slots, int waiting, long nowNanos) {
    int slotCount = Math.max(1, slots);
    double crowding = HALVING_REQUESTS / (HALVING_REQUESTS + waiting);
    double maxMillis = responseMillis * MAX_INTERVAL_RESPONSES * crowding;
    double millis =
        reportedFullRecently(nowNanos) ? slotIntervalNanos * 2 / 1e6 : responseMillis / slotCount;
    millis = Math.max(MIN_INTERVAL_MILLIS, Math.min(maxMillis, millis));
    everFull = true;
    reportedFullNanos = nowNanos;
    slotIntervalNanos = Math.round(millis * 1e6);
    nextCapacityNanos = nowNanos + slotIntervalNanos;
    requestsWhenFull = Math.max(slotCount, load.requests(nowNanos));
  }

  /** This process sends a request to the engine. */
  public void sent(long nowNanos) {
    if (reportedFullRecently(nowNanos)) {
      nextCapacityNanos = nowNanos + slotIntervalNanos;
    }
  }

  /** The engine gave an answer to a request of this process: a place has come free. */
  public void responseReceived(long nowNanos) {
    slotIntervalNanos = Math.max(Math.round(MIN_INTERVAL_MILLIS * 1e6), slotIntervalNanos / 2);
    nextCapacityNanos = nowNanos;
  }

  /** Whether the engine is expected to turn a request away. */
  public boolean full(long nowNanos) {
    return nextCapacityNanos(nowNanos) - nowNanos > 0;
  }

  /** When it is expected to have a place; the present moment if it may have one. */
  public long nextCapacityNanos(long nowNanos) {
    if (!reportedFullRecently(nowNanos)
        || nextCapacityNanos - nowNanos <= 0
        || loadShowsCapacity(nowNanos)) {
      return nowNanos;
    }
    return Math.min(nextCapacityNanos, reportedFullNanos + REPORT_VALID_NANOS);
  }

  private boolean reportedFullRecently(long nowNanos) {
    return everFull && nowNanos - reportedFullNanos < REPORT_VALID_NANOS;
  }

  private boolean loadShowsCapacity(long nowNanos) {
    return load.known(nowNanos)
        && load.ageNanos(nowNanos) < nowNanos - reportedFullNanos
        && load.requests(nowNanos) < requestsWhenFull;
  }
}
