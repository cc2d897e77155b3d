package org.baykeel.gateway.directory;

import java.util.List;

/** An engine together with this node's own observations of it. Used only from the event loop. */
public final class Engine {
  private static final double WAIT_SMOOTHING = 0.2;
  private static final double INTER_EVENT_SMOOTHING = 0.08;

  /**
   * An observed inter-event time counts at most as this multiple of the usual one, since a stalled
   * stream says nothing about the token rate of the engine.
   */
  private static final double MAX_INTER_EVENT_FACTOR = 30;

  /** An observed wait is ignored after this time without another observation. */
  private static final long WAIT_STALE_NANOS = 1_500_000_000L;

  /** An observed inter-event time is ignored after this time without a stream. */
  private static final long INTER_EVENT_STALE_NANOS = 4_000_000_000L;

  /**
   * The number of observed inter-event times at which they weigh as much as the usual one of the
   * service. The times of a single stream depend on what else the engine happened to run, so a few
   * streams are needed.
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

  /** Returns the latest record of the engine. */
  public EngineRecord record() {
    return record;
  }

  void update(EngineRecord newRecord) {
    this.record = newRecord;
    this.removed = false;
  }

  /** Adopts the remaining cold time of the record, counted from now. */
  void updateColdPeriod(long nowNanos) {
    if (record.coldMillis() > 0) {
      everCold = true;
      coldUntilNanos = nowNanos + record.coldMillis() * 1_000_000;
    } else if (cold(nowNanos)) {
      coldUntilNanos = nowNanos;
    }
  }

  /** Returns whether the engine can take only few requests now, according to its record. */
  public boolean cold(long nowNanos) {
    return everCold && nowNanos - coldUntilNanos < 0;
  }

  /**
   * Returns the nanoseconds since the engine was last cold; {@link Long#MAX_VALUE} if it never was.
   */
  public long warmForNanos(long nowNanos) {
    return everCold ? Math.max(0, nowNanos - coldUntilNanos) : Long.MAX_VALUE;
  }

  void markRemoved() {
    removed = true;
  }

  /** Returns whether this object was replaced or its entry is gone, so that it gets no new work. */
  public boolean removed() {
    return removed;
  }

  /** Returns the prompt parts that the engine is believed to have cached. */
  public CachedPrefixes cachedPrefixes() {
    return cachedPrefixes;
  }

  /** Returns the estimate of its load. */
  public LoadEstimate load() {
    return load;
  }

  /** Returns the estimate of when it has capacity. */
  public EngineCapacity capacity() {
    return capacity;
  }

  /** Returns the performance of the engines of its service. */
  public ServicePerformance performance() {
    return performance;
  }

  /**
   * Returns the expected time to the first event of a response when the engine is idle, in
   * milliseconds.
   */
  public double expectedFirstEventMillis(List<PromptPart> prompt) {
    return performance.firstEventMillis()
        + performance.prefillMillis(cachedPrefixes.uncachedTokens(prompt));
  }

  /** Returns the number of requests from this node to the engine that are in flight. */
  public int inFlight() {
    return inFlight;
  }

  /** Records that a request was sent to the engine. */
  public void requestStarted(long nowNanos) {
    inFlight++;
    load.sent(nowNanos);
  }

  /**
   * Records that a request to the engine has ended.
   *
   * @param startedNanos the moment that was passed when it started
   */
  public void requestEnded(long startedNanos) {
    inFlight--;
    load.ended(startedNanos);
  }

  /**
   * Records how long a request waited before its first event, beyond the time that its prompt
   * explains.
   *
   * @param millis the wait in milliseconds; negative values count as none
   */
  public void observeWait(double millis, long nowNanos) {
    if (nowNanos - waitObservedNanos >= INTER_EVENT_STALE_NANOS) {
      interEventTimesObserved = 0;
    }
    double before = waitMillis(nowNanos);
    waitMillis = before + WAIT_SMOOTHING * (Math.max(0, millis) - before);
    waitObservedNanos = nowNanos;
  }

  /**
   * Returns the smoothed wait in milliseconds, which decays to 0 while there are no observations.
   */
  public double waitMillis(long nowNanos) {
    long age = nowNanos - waitObservedNanos;
    return age >= WAIT_STALE_NANOS ? 0 : waitMillis * (1.0 - (double) age / WAIT_STALE_NANOS);
  }

  /** Records the time between two events of a stream, in milliseconds. */
  public void observeInterEventTime(double millis) {
    double counted = Math.min(millis, performance.interEventMillis() * MAX_INTER_EVENT_FACTOR);
    interEventMillis = interEventMillis() + INTER_EVENT_SMOOTHING * (counted - interEventMillis());
    interEventTimesObserved++;
    performance.observeInterEventTime(counted);
  }

  /**
   * Returns the smoothed time between two events of a stream, in milliseconds; that of the service
   * if none was observed.
   */
  public double interEventMillis() {
    return interEventTimesObserved > 0 ? interEventMillis : performance.interEventMillis();
  }

  /**
   * Returns the observed inter-event time, in milliseconds. An observation that has not been
   * renewed for a while may be out of date: the engine then counts as a usual one of its service,
   * until one stream is in flight there again and yields a new observation.
   */
  public double observedInterEventMillis(long nowNanos) {
    boolean forgotten = inFlight == 0 && nowNanos - waitObservedNanos >= INTER_EVENT_STALE_NANOS;
    return forgotten ? performance.interEventMillis() : interEventMillis();
  }

  /**
   * Returns the expected inter-event time of the engine's next stream, in milliseconds. The fewer
   * events were observed, the more the usual inter-event time of its service counts.
   */
  public double interEventMillis(long nowNanos) {
    double own = interEventTimesObserved / (interEventTimesObserved + SERVICE_PRIOR_EVENTS);
    return performance.interEventMillis()
        + own * (observedInterEventMillis(nowNanos) - performance.interEventMillis());
  }

  /**
   * Records that a request failed at the engine, or that the engine could not be reached. Peers are
   * not notified about an engine that is removed, since its identifier may belong to another
   * incarnation by now.
   */
  public void failed(long nowNanos) {
    boolean suspectBefore = failures.suspectAt(nowNanos);
    failures.failed(nowNanos);
    if (!removed && !suspectBefore && failures.suspectAt(nowNanos)) {
      suspicionListener.engineSuspected(this);
    }
  }

  /** Records that a peer suspects the engine; returns whether it was not suspect here before. */
  public boolean suspectedByPeer(long nowNanos) {
    boolean suspectBefore = failures.suspectAt(nowNanos);
    failures.suspectedByPeer(nowNanos);
    return !suspectBefore;
  }

  /** Records that the engine responded with an error of its own; it is avoided briefly. */
  public void serverErrorReceived(long nowNanos) {
    failures.serverErrorReceived(nowNanos);
  }

  /** Records a complete response. */
  public void succeeded() {
    failures.succeeded();
  }

  /** Returns how far the engine is trusted with new work. */
  public EngineHealth health(long nowNanos) {
    return failures.health(nowNanos);
  }
}
