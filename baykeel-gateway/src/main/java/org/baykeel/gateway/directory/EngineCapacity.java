package org.baykeel.gateway.directory;

/**
 * The estimate of when an engine that reported itself full has capacity again. Used only from the
 * event loop.
 *
 * <p>A single request of this node probes the engine: once it is sent, the next free slot is
 * expected one slot interval later. Each further report that the engine is full doubles the
 * interval, up to the time of a few responses. That limit is lower the more requests wait at this
 * node, so that nodes get capacity in proportion to the requests that wait at each. A response of
 * the engine halves the interval and means that there is capacity at once. A load report that is
 * newer than the report that the engine is full can indicate capacity earlier.
 */
public final class EngineCapacity {
  private static final double MIN_INTERVAL_MILLIS = 10;

  /**
   * The longest time until a free slot is expected, in units of the response time, while few
   * requests wait at this node.
   */
  private static final double MAX_INTERVAL_RESPONSES = 4;

  /** The number of waiting requests that halves this longest time. */
  private static final double HALVING_REQUESTS = 16;

  /** After this time without another report that it is full, the engine counts as any other. */
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
   * Records that the engine reported itself full.
   *
   * @param responseMillis the usual time of a response, in milliseconds
   * @param slots requests that the engine works on at once
   * @param waiting requests that wait for capacity at this node
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

  /** Records that this node sends a request to the engine. */
  public void sent(long nowNanos) {
    if (reportedFullRecently(nowNanos)) {
      nextCapacityNanos = nowNanos + slotIntervalNanos;
    }
  }

  /** Records that the engine responded to a request of this node, so that a slot is free. */
  public void responseReceived(long nowNanos) {
    slotIntervalNanos = Math.max(Math.round(MIN_INTERVAL_MILLIS * 1e6), slotIntervalNanos / 2);
    nextCapacityNanos = nowNanos;
  }

  /** Returns whether the engine is expected to refuse a request. */
  public boolean full(long nowNanos) {
    return nextCapacityNanos(nowNanos) - nowNanos > 0;
  }

  /**
   * Returns when the engine is expected to have capacity; the present moment if it may have
   * capacity.
   */
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
