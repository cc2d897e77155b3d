package org.baykeel.gateway.load;

/**
 * Decides when this node queries one engine for its load.
 *
 * <p>The first node in the engine's rendezvous order queries at its own interval, whatever other
 * nodes publish. Each further node starts once no node that ranks before it has published a report
 * for longer than the usual time between two notices plus a delay that grows with its rank. From
 * then on it queries at the same interval, until a node that ranks before it publishes again. No
 * node is ever marked as failed: a first node that comes back simply continues.
 */
final class LoadQuerySchedule {
  /** The interval of queries to a loaded engine. */
  static final long LOADED_INTERVAL_NANOS = 200_000_000L;

  /**
   * The interval of queries to an engine that is not loaded. Together with one takeover step and
   * the round trip it is below one second, the time within which a failed reporter is replaced.
   */
  static final long UNLOADED_INTERVAL_NANOS = 700_000_000L;

  /**
   * The additional delay of each rank before it takes over. Longer than the variation between
   * rounds.
   */
  private static final long TAKEOVER_STEP_NANOS = 150_000_000L;

  /** The interval of queries to an engine that returned no usable report. */
  static final long UNAVAILABLE_RETRY_NANOS = 30_000_000_000L;

  private static final long MAX_BACKOFF_NANOS = 5_000_000_000L;
  private static final int MAX_DOUBLINGS = 5;

  /**
   * The number of nodes that query an engine without a current report. Such an engine may not
   * return reports or may be gone, so not every node needs to query it.
   */
  private static final int PROBING_NODES = 5;

  /** An engine of which a report was received within this time returns reports. */
  private static final long REPORTING_WITHIN_NANOS = 10_000_000_000L;

  /**
   * The part of the interval after which an engine may be queried together with others. Above one
   * half, so that engines of the same interval end up in at most two rounds.
   */
  private static final double EARLY_QUERY_PART = 0.6;

  private static final int UNKNOWN = -1;

  private final EngineLoadView view;
  private final boolean inRegion;
  private int rank = UNKNOWN;
  private int rankAmong = UNKNOWN;
  private boolean everQueried;
  private boolean inFlight;
  private boolean substitute;
  private int consecutiveFailures;
  private long queriedNanos;
  private long notBeforeNanos;

  LoadQuerySchedule(EngineLoadView view, boolean inRegion, long nowNanos) {
    this.view = view;
    this.inRegion = inRegion;
    this.notBeforeNanos = nowNanos;
  }

  EngineLoadView view() {
    return view;
  }

  /** Returns whether the rank was computed among this many other nodes. */
  boolean rankedAmong(int nodes) {
    return rankAmong == nodes;
  }

  /**
   * Sets this node's rank in the engine's rendezvous order.
   *
   * @param newRank the number of nodes that rank before this one
   * @param nodes the number of other nodes known at that time
   */
  void rank(int newRank, int nodes) {
    rank = newRank;
    rankAmong = nodes;
  }

  int rank() {
    return rank;
  }

  /** Returns whether a query is due. */
  boolean due(long nowNanos) {
    return dueAfter(intervalNanos(nowNanos), nowNanos);
  }

  /** Returns whether a query now, together with others, saves a separate notice later. */
  boolean nearlyDue(long nowNanos) {
    return dueAfter((long) (EARLY_QUERY_PART * intervalNanos(nowNanos)), nowNanos);
  }

  private boolean dueAfter(long intervalNanos, long nowNanos) {
    if (inFlight || rank == UNKNOWN || nowNanos - notBeforeNanos < 0) {
      return false;
    }
    if (everQueried && nowNanos - queriedNanos < intervalNanos) {
      return false;
    }
    return rank == 0 || takeoverDue(nowNanos);
  }

  private boolean takeoverDue(long nowNanos) {
    if (rank >= PROBING_NODES && !view.reportedWithin(REPORTING_WITHIN_NANOS, nowNanos)) {
      return false;
    }
    long interval =
        inRegion && view.reportedLoaded() ? LOADED_INTERVAL_NANOS : UNLOADED_INTERVAL_NANOS;
    long silenceLimit =
        Math.max(interval, view.precedingNoticeIntervalNanos()) + rank * TAKEOVER_STEP_NANOS;
    return view.silenceNanos(nowNanos) >= silenceLimit;
  }

  private long intervalNanos(long nowNanos) {
    return inRegion && view.estimatedLoaded(nowNanos)
        ? LOADED_INTERVAL_NANOS
        : UNLOADED_INTERVAL_NANOS;
  }

  /**
   * Returns for how long the engine was not queried, in nanoseconds. If the budget does not cover
   * all engines, the longest comes first.
   */
  long sinceLastQueryNanos(long nowNanos) {
    return everQueried ? nowNanos - queriedNanos : Long.MAX_VALUE;
  }

  void queryStarted(long nowNanos) {
    everQueried = true;
    inFlight = true;
    queriedNanos = nowNanos;
  }

  /**
   * Records that the engine returned its load.
   *
   * @return whether this node now reports in place of another node, and did not before
   */
  boolean reportReceived() {
    inFlight = false;
    consecutiveFailures = 0;
    boolean starts = rank > 0 && !substitute;
    substitute = rank > 0;
    return starts;
  }

  /** Records that the engine returned no usable report. */
  void unavailable(long nowNanos) {
    inFlight = false;
    substitute = false;
    notBeforeNanos = nowNanos + UNAVAILABLE_RETRY_NANOS;
  }

  /**
   * Records that no response arrived: the next round queries again, and later queries are delayed
   * by exponential backoff.
   */
  void noResponse(long nowNanos) {
    inFlight = false;
    int doublings = Math.min(MAX_DOUBLINGS, consecutiveFailures);
    consecutiveFailures++;
    notBeforeNanos = nowNanos;
    if (doublings > 0) {
      notBeforeNanos += Math.min(MAX_BACKOFF_NANOS, LOADED_INTERVAL_NANOS << doublings);
    }
  }

  /**
   * Records that a node that ranks before this one published a report of the engine.
   *
   * @return whether this node reported in its place until now
   */
  boolean precedingNodeReported() {
    boolean stops = substitute;
    substitute = false;
    return stops;
  }

  /** Returns whether this node currently reports the load of the engine. */
  boolean isReporting(long nowNanos) {
    return (rank == 0 || substitute)
        && everQueried
        && consecutiveFailures == 0
        && nowNanos - notBeforeNanos >= 0;
  }
}
