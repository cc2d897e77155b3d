package org.baykeel.gateway.load;

/**
 * When it is this node's turn to ask one engine for its load.
 *
 * <p>The first node in the engine's order asks at its own pace, whatever others tell. Each further
 * node asks once no node before it has told of the engine for longer than the usual time between
 * two notices, and by its place longer; from then on it asks at the same pace, until a node before
 * it tells again. So nobody is set aside: a first node that is back just goes on.
 */
final class LoadQuerySchedule {
  /** Between two questions to an engine that is loaded. */
  static final long LOADED_INTERVAL_NANOS = 200_000_000L;

  /**
   * Between two questions to a calm engine. With one turn and the way it stays below a second, the
   * time within which a reporter that is gone is replaced.
   */
  static final long UNLOADED_INTERVAL_NANOS = 700_000_000L;

  /** What each place in the order waits longer than the one before; more than rounds vary. */
  private static final long TAKEOVER_STEP_NANOS = 150_000_000L;

  /** How long an engine without reports isn't asked again. */
  static final long UNAVAILABLE_RETRY_NANOS = 30_000_000_000L;

  private static final long MAX_BACKOFF_NANOS = 5_000_000_000L;
  private static final int MAX_DOUBLINGS = 5;

  /**
   * Nodes that ask an engine of which nothing was told lately: it may have no reports, or be gone,
   * and need not be asked by all nodes.
   */
  private static final int PROBING_NODES = 5;

  /** An engine of which something was told within this time gives reports. */
  private static final long REPORTING_WITHIN_NANOS = 10_000_000_000L;

  /**
   * Part of the interval from which on an engine is asked together with others: beyond a half,
   * engines of one interval end in two rounds at most.
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

  /** Whether the place was worked out among this many other nodes. */
  boolean rankedAmong(int nodes) {
    return rankAmong == nodes;
  }

  /**
   * Sets this node's place in the engine's order.
   *
   * @param newRank how many nodes come before this one
   * @param nodes the other nodes known then
   */
  void rank(int newRank, int nodes) {
    rank = newRank;
    rankAmong = nodes;
  }

  int rank() {
    return rank;
  }

  /** Whether it is time to ask. */
  boolean due(long nowNanos) {
    return dueAfter(intervalNanos(nowNanos), nowNanos);
  }

  /** Whether asking now, with others, spares a notice of its own soon. */
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
   * For how long the engine was not asked; the longest waits first where there is not room for all.
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
   * The engine told its load.
   *
   * @return whether this node now reports in another's stead, and did not before
   */
  boolean reportReceived() {
    inFlight = false;
    consecutiveFailures = 0;
    boolean begins = rank > 0 && !substitute;
    substitute = rank > 0;
    return begins;
  }

  /** The engine has no report to give. */
  void unavailable(long nowNanos) {
    inFlight = false;
    substitute = false;
    notBeforeNanos = nowNanos + UNAVAILABLE_RETRY_NANOS;
  }

  /** No answer came: the next round asks, later ones more and more rarely. */
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
   * A node that comes before this one tells of the engine.
   *
   * @return whether this node reported in its stead until now
   */
  boolean precedingNodeReported() {
    boolean ends = substitute;
    substitute = false;
    return ends;
  }

  /** Whether this node has reported of the engine lately. */
  boolean isReporting(long nowNanos) {
    return (rank == 0 || substitute)
        && everQueried
        && consecutiveFailures == 0
        && nowNanos - notBeforeNanos >= 0;
  }
}
