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
  static final long FAST_NANOS = 200_000_000L;

  /**
   * Between two questions to a calm engine. With one turn and the way it stays below a second, the
   * time within which a reporter that is gone is replaced.
   */
  static final long SLOW_NANOS = 700_000_000L;

  /** What each place in the order waits longer than the one before; more than rounds vary. */
  private static final long TURN_NANOS = 150_000_000L;

  /** How long an engine without reports isn't asked again. */
  static final long UNAVAILABLE_NANOS = 30_000_000_000L;

  private static final long LONGEST_BACKOFF_NANOS = 5_000_000_000L;
  private static final int MAX_DOUBLINGS = 5;

  /**
   * Nodes that ask an engine of which nothing was told lately: it may have no reports, or be gone,
   * and need not be asked by all nodes.
   */
  private static final int FIRST_NODES = 5;

  /** An engine of which something was told within this time gives reports. */
  private static final long REPORTS_NANOS = 10_000_000_000L;

  /**
   * Part of the interval from which on an engine is asked together with others: beyond a half,
   * engines of one interval end in two rounds at most.
   */
  private static final double NEARLY_DUE = 0.6;

  private static final int UNKNOWN = -1;

  private final EngineLoadView view;
  private final boolean inRegion;
  private int place = UNKNOWN;
  private int placeAmong = UNKNOWN;
  private boolean everAsked;
  private boolean underWay;
  private boolean substitute;
  private int lostInARow;
  private long askedNanos;
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
  boolean placedAmong(int nodes) {
    return placeAmong == nodes;
  }

  /**
   * Sets this node's place in the engine's order.
   *
   * @param newPlace how many nodes come before this one
   * @param nodes the other nodes known then
   */
  void place(int newPlace, int nodes) {
    place = newPlace;
    placeAmong = nodes;
  }

  int place() {
    return place;
  }

  /** Whether it is time to ask. */
  boolean due(long nowNanos) {
    return dueAfter(intervalNanos(nowNanos), nowNanos);
  }

  /** Whether asking now, with others, spares a notice of its own soon. */
  boolean nearlyDue(long nowNanos) {
    return dueAfter((long) (NEARLY_DUE * intervalNanos(nowNanos)), nowNanos);
  }

  private boolean dueAfter(long intervalNanos, long nowNanos) {
    if (underWay || place == UNKNOWN || nowNanos - notBeforeNanos < 0) {
      return false;
    }
    if (everAsked && nowNanos - askedNanos < intervalNanos) {
      return false;
    }
    return place == 0 || ownTurn(nowNanos);
  }

  private boolean ownTurn(long nowNanos) {
    if (place >= FIRST_NODES && !view.toldWithin(REPORTS_NANOS, nowNanos)) {
      return false;
    }
    long usual = inRegion && view.toldLoaded() ? FAST_NANOS : SLOW_NANOS;
    long patience = Math.max(usual, view.heardGapNanos()) + place * TURN_NANOS;
    return view.silenceNanos(nowNanos) >= patience;
  }

  private long intervalNanos(long nowNanos) {
    return inRegion && view.estimatedLoaded(nowNanos) ? FAST_NANOS : SLOW_NANOS;
  }

  /**
   * For how long the engine was not asked; the longest waits first where there is not room for all.
   */
  long waitedNanos(long nowNanos) {
    return everAsked ? nowNanos - askedNanos : Long.MAX_VALUE;
  }

  void asked(long nowNanos) {
    everAsked = true;
    underWay = true;
    askedNanos = nowNanos;
  }

  /**
   * The engine told its load.
   *
   * @return whether this node now reports in another's stead, and did not before
   */
  boolean answered() {
    underWay = false;
    lostInARow = 0;
    boolean begins = place > 0 && !substitute;
    substitute = place > 0;
    return begins;
  }

  /** The engine has no report to give. */
  void unavailable(long nowNanos) {
    underWay = false;
    substitute = false;
    notBeforeNanos = nowNanos + UNAVAILABLE_NANOS;
  }

  /** No answer came: the next round asks, later ones more and more rarely. */
  void lost(long nowNanos) {
    underWay = false;
    int doublings = Math.min(MAX_DOUBLINGS, lostInARow);
    lostInARow++;
    notBeforeNanos = nowNanos;
    if (doublings > 0) {
      notBeforeNanos += Math.min(LONGEST_BACKOFF_NANOS, FAST_NANOS << doublings);
    }
  }

  /**
   * A node that comes before this one tells of the engine.
   *
   * @return whether this node reported in its stead until now
   */
  boolean heardBefore() {
    boolean ends = substitute;
    substitute = false;
    return ends;
  }

  /** Whether this node has reported of the engine lately. */
  boolean reports(long nowNanos) {
    return (place == 0 || substitute)
        && everAsked
        && lostInARow == 0
        && nowNanos - notBeforeNanos >= 0;
  }
}
