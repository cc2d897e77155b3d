package org.baykeel.gateway.directory;

/** An engine and this process's own view of it. Used only from the event loop. */
public final class Engine {
  private static final double LATENCY_SMOOTHING = 0.3;
  private static final long FIRST_PENALTY_MILLIS = 250;
  private static final long LONGEST_PENALTY_MILLIS = 4_000;

  private EngineRecord record;
  private final CachedPrefixes cachedPrefixes = new CachedPrefixes();
  private boolean removed;
  private int inFlight;
  private double slowness = 1.0;
  private long avoidUntilNanos;
  private long penaltyMillis = FIRST_PENALTY_MILLIS;
  private boolean penalized;

  Engine(EngineRecord record) {
    this.record = record;
  }

  /** What it stated last. */
  public EngineRecord record() {
    return record;
  }

  void update(EngineRecord newRecord) {
    this.record = newRecord;
    this.removed = false;
  }

  void markRemoved() {
    removed = true;
  }

  /** Whether its entry is gone. */
  public boolean removed() {
    return removed;
  }

  /** The prompt parts that it is believed to hold. */
  public CachedPrefixes cachedPrefixes() {
    return cachedPrefixes;
  }

  /** Requests that this process has sent to it and that are not over. */
  public int inFlight() {
    return inFlight;
  }

  /** A request was sent to it. */
  public void requestStarted() {
    inFlight++;
  }

  /** A request that was sent to it is over. */
  public void requestEnded() {
    inFlight--;
  }

  /**
   * Notes how long an answer took against what was predicted.
   *
   * @param ratio measured time divided by predicted time
   */
  public void observeLatency(double ratio) {
    slowness += LATENCY_SMOOTHING * (Math.min(ratio, 20.0) - slowness);
  }

  /** Smoothed ratio of measured to predicted time; 1 is as predicted. */
  public double slowness() {
    return slowness;
  }

  /** Notes a failure: the engine is avoided for a time that doubles until it serves again. */
  public void failed(long nowNanos) {
    avoidUntilNanos = nowNanos + penaltyMillis * 1_000_000;
    penaltyMillis = Math.min(LONGEST_PENALTY_MILLIS, penaltyMillis * 2);
    penalized = true;
  }

  /** Notes that it said it was full: it is avoided briefly. */
  public void full(long nowNanos, long millis) {
    avoidUntilNanos = Math.max(avoidUntilNanos, nowNanos + millis * 1_000_000);
    penalized = true;
  }

  /** Notes a whole answer. */
  public void succeeded() {
    penaltyMillis = FIRST_PENALTY_MILLIS;
    penalized = false;
  }

  /** Whether it should be used only if no other engine is left. */
  public boolean avoided(long nowNanos) {
    return penalized && nowNanos - avoidUntilNanos < 0;
  }
}
