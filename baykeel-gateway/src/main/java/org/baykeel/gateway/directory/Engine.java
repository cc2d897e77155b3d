package org.baykeel.gateway.directory;

import java.util.List;

/** An engine and this process's own view of it. Used only from the event loop. */
public final class Engine {
  /** Prompt tokens that an engine is assumed to read in a millisecond. */
  public static final double PREFILL_TOKENS_PER_MILLI = 250.0;

  /** Time to the first event of a prompt that is cached whole. */
  private static final double CACHED_FIRST_EVENT_MILLIS = 8.0;

  private static final double WAIT_SMOOTHING = 0.2;
  private static final double GAP_SMOOTHING = 0.08;
  private static final double LONGEST_GAP_MILLIS = 1_000;

  /** After this time without an observation a wait no longer says anything. */
  private static final long WAIT_STALE_NANOS = 1_500_000_000L;

  /** The gap between events of an engine that was not observed yet. */
  private static final double DEFAULT_GAP_MILLIS = 35;

  private EngineRecord record;
  private final CachedPrefixes cachedPrefixes = new CachedPrefixes();
  private final EngineFailures failures = new EngineFailures();
  private final EngineSuspicionListener suspicionListener;
  private boolean removed;
  private int inFlight;
  private double waitMillis;
  private long waitObservedNanos;
  private double gapMillis = DEFAULT_GAP_MILLIS;

  Engine(EngineRecord record, EngineSuspicionListener suspicionListener) {
    this.record = record;
    this.suspicionListener = suspicionListener;
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

  /** The time in which it is expected to begin an answer when idle, in milliseconds. */
  public double expectedFirstEventMillis(List<PromptPart> prompt) {
    return CACHED_FIRST_EVENT_MILLIS
        + cachedPrefixes.uncachedTokens(prompt) / PREFILL_TOKENS_PER_MILLI;
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
   * Notes how long a request waited before its first event, beyond what its prompt explains.
   *
   * @param millis the wait; negative values count as none
   */
  public void observeWait(double millis, long nowNanos) {
    double before = waitMillis(nowNanos);
    waitMillis = before + WAIT_SMOOTHING * (Math.max(0, millis) - before);
    waitObservedNanos = nowNanos;
  }

  /** The smoothed wait; fades out after a while without observations. */
  public double waitMillis(long nowNanos) {
    long age = nowNanos - waitObservedNanos;
    return age >= WAIT_STALE_NANOS ? 0 : waitMillis * (1.0 - (double) age / WAIT_STALE_NANOS);
  }

  /** Notes the time between two events of a stream. */
  public void observeGap(double millis) {
    gapMillis += GAP_SMOOTHING * (Math.min(millis, LONGEST_GAP_MILLIS) - gapMillis);
  }

  /** The smoothed time between two events of a stream. */
  public double gapMillis() {
    return gapMillis;
  }

  /** Notes that a request failed there, or that it could not be reached. */
  public void failed(long nowNanos) {
    boolean suspectBefore = failures.suspectAt(nowNanos);
    failures.failed(nowNanos);
    if (!suspectBefore && failures.suspectAt(nowNanos)) {
      suspicionListener.engineSuspected(this);
    }
  }

  /** Notes that another node suspects it; returns whether that is new here. */
  public boolean suspectedElsewhere(long nowNanos) {
    boolean suspectBefore = failures.suspectAt(nowNanos);
    failures.suspectedElsewhere(nowNanos);
    return !suspectBefore;
  }

  /** Notes that it said it was full: it is avoided briefly. */
  public void full(long nowNanos, long millis) {
    failures.full(nowNanos, millis);
  }

  /** Notes a whole answer. */
  public void succeeded() {
    failures.succeeded();
  }

  /** How far it is trusted with new work. */
  public EngineStanding standing(long nowNanos) {
    return failures.standing(nowNanos);
  }
}
