package org.baykeel.gateway.directory;

import java.util.List;

/** An engine and this process's own view of it. Used only from the event loop. */
public final class Engine {
  private static final double WAIT_SMOOTHING = 0.2;
  private static final double INTER_EVENT_SMOOTHING = 0.08;

  /** A gap counts at most as this multiple of the usual one: a stalled stream is not a pace. */
  private static final double MAX_INTER_EVENT_FACTOR = 30;

  /** After this time without an observation a wait no longer says anything. */
  private static final long WAIT_STALE_NANOS = 1_500_000_000L;

  /** After this time without a stream an engine's pace no longer says anything. */
  private static final long INTER_EVENT_STALE_NANOS = 4_000_000_000L;

  /**
   * Times between events after which an engine's own pace counts as much as that of its service.
   * Those of one stream tell what else the engine happened to do, so a few streams are needed.
   */
  private static final double SERVICE_PRIOR_EVENTS = 30;

  private EngineRecord record;
  private final ServicePerformance performance;
  private final CachedPrefixes cachedPrefixes = new CachedPrefixes();
  private final EngineFailures failures = new EngineFailures();
  private final LoadEstimate load = new LoadEstimate();
  private final EngineCapacity capacity = new EngineCapacity(load);
  private final EngineSuspicionListener suspicionListener;
  private boolean removed;
  private int inFlight;
  private double waitMillis;
  private long waitObservedNanos;
  private double interEventMillis;
  private int interEventTimesObserved;
  private boolean everCold;
  private long coldUntilNanos;

  Engine(
      EngineRecord record,
      ServicePerformance performance,
      EngineSuspicionListener suspicionListener) {
    this.record = record;
    this.performance = performance;
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

  /** Adopts what its record says about its warmth, as of now. */
  void updateColdPeriod(long nowNanos) {
    if (record.coldMillis() > 0) {
      everCold = true;
      coldUntilNanos = nowNanos + record.coldMillis() * 1_000_000;
    } else if (cold(nowNanos)) {
      coldUntilNanos = nowNanos;
    }
  }

  /** Whether it bears few requests at the moment, as far as it has said. */
  public boolean cold(long nowNanos) {
    return everCold && nowNanos - coldUntilNanos < 0;
  }

  /** Nanoseconds since it was cold last; {@link Long#MAX_VALUE} if it never was. */
  public long warmForNanos(long nowNanos) {
    return everCold ? Math.max(0, nowNanos - coldUntilNanos) : Long.MAX_VALUE;
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

  /** What its load is taken to be. */
  public LoadEstimate load() {
    return load;
  }

  /** When it is expected to have a place. */
  public EngineCapacity capacity() {
    return capacity;
  }

  /** How fast the engines of its service work. */
  public ServicePerformance performance() {
    return performance;
  }

  /** The time in which it is expected to begin an answer when idle, in milliseconds. */
  public double expectedFirstEventMillis(List<PromptPart> prompt) {
    return performance.firstEventMillis()
        + performance.prefillMillis(cachedPrefixes.uncachedTokens(prompt));
  }

  /** Requests that this process has sent to it and that are not over. */
  public int inFlight() {
    return inFlight;
  }

  /** A request was sent to it. */
  public void requestStarted(long nowNanos) {
    inFlight++;
    load.sent(nowNanos);
  }

  /**
   * A request that was sent to it is over.
   *
   * @param startedNanos when it was sent, as told at its start
   */
  public void requestEnded(long startedNanos) {
    inFlight--;
    load.ended(startedNanos);
  }

  /**
   * Notes how long a request waited before its first event, beyond what its prompt explains.
   *
   * @param millis the wait; negative values count as none
   */
  public void observeWait(double millis, long nowNanos) {
    if (nowNanos - waitObservedNanos >= INTER_EVENT_STALE_NANOS) {
      interEventTimesObserved = 0;
    }
    double before = waitMillis(nowNanos);
    waitMillis = before + WAIT_SMOOTHING * (Math.max(0, millis) - before);
    waitObservedNanos = nowNanos;
  }

  /** The smoothed wait; fades out after a while without observations. */
  public double waitMillis(long nowNanos) {
    long age = nowNanos - waitObservedNanos;
    return age >= WAIT_STALE_NANOS ? 0 : waitMillis * (1.0 - (double) age / WAIT_STALE_NANOS);
  }

  /** Notes the time between two events of a stream, in milliseconds. */
  public void observeInterEventTime(double millis) {
    double counted = Math.min(millis, performance.interEventMillis() * MAX_INTER_EVENT_FACTOR);
    interEventMillis = interEventMillis() + INTER_EVENT_SMOOTHING * (counted - interEventMillis());
    interEventTimesObserved++;
    performance.observeInterEventTime(counted);
  }

  /** The smoothed time between two events of a stream; that of its service if none was seen. */
  public double interEventMillis() {
    return interEventTimesObserved > 0 ? interEventMillis : performance.interEventMillis();
  }

  /**
   * The time between two events as it was seen here. A pace of which nothing was heard for a while
   * may be over: the engine then counts as usual until one stream is under way there again, which
   * shows its pace anew.
   */
  public double observedInterEventMillis(long nowNanos) {
    boolean forgotten = inFlight == 0 && nowNanos - waitObservedNanos >= INTER_EVENT_STALE_NANOS;
    return forgotten ? performance.interEventMillis() : interEventMillis();
  }

  /**
   * The time between two events that is to be expected of its next stream: the fewer events were
   * seen here, the more the usual pace of its service counts.
   */
  public double interEventMillis(long nowNanos) {
    double own = interEventTimesObserved / (interEventTimesObserved + SERVICE_PRIOR_EVENTS);
    return performance.interEventMillis()
        + own * (observedInterEventMillis(nowNanos) - performance.interEventMillis());
  }

  /**
   * Notes that a request failed there, or that it could not be reached. Of an engine that is
   * removed nobody else is told: its identifier may be that of another life by now.
   */
  public void failed(long nowNanos) {
    boolean suspectBefore = failures.suspectAt(nowNanos);
    failures.failed(nowNanos);
    if (!removed && !suspectBefore && failures.suspectAt(nowNanos)) {
      suspicionListener.engineSuspected(this);
    }
  }

  /** Notes that another node suspects it; returns whether that is new here. */
  public boolean suspectedByPeer(long nowNanos) {
    boolean suspectBefore = failures.suspectAt(nowNanos);
    failures.suspectedByPeer(nowNanos);
    return !suspectBefore;
  }

  /** Notes that it answered with a fault of its own: it is avoided briefly. */
  public void serverErrorReceived(long nowNanos) {
    failures.serverErrorReceived(nowNanos);
  }

  /** Notes a whole answer. */
  public void succeeded() {
    failures.succeeded();
  }

  /** How far it is trusted with new work. */
  public EngineHealth health(long nowNanos) {
    return failures.standing(nowNanos);
  }
}
