package org.baykeel.gateway.quarantine;

/**
 * The wait of a claim until this node has read the claims of other nodes that may precede it.
 *
 * <p>Datagrams are read between two looks, and a look may follow late if the event loop has much to
 * do. So time alone proves nothing: the wait is over at a look that soon follows another one, which
 * itself took place after the claims of other nodes had time to arrive. Claims of other nodes that
 * were not read by then are younger, and their nodes read that this one has sent.
 */
final class ClaimWait {
  /** The claims of other nodes arrive within this time; longer than {@link #MAX_PAUSE_NANOS}. */
  private static final long ARRIVAL_NANOS = 40_000_000L;

  /** The longest time between the last two looks. */
  private static final long MAX_PAUSE_NANOS = 30_000_000L;

  /** A node whose event loop lags for so long does not send. */
  private static final long MAX_NANOS = 500_000_000L;

  private final long claimedNanos;
  private long lastLookNanos;
  private boolean arrived;

  /** What is known at a look. */
  enum State {
    /** Claims of other nodes may not have been read. */
    WAITING,
    /** All claims that may precede this one have been read. */
    OVER,
    /** The event loop lagged throughout the longest time. */
    FAILED
  }

  ClaimWait(long claimedNanos) {
    this.claimedNanos = claimedNanos;
  }

  /** Looks whether the wait is over; called repeatedly, not more than once in a task. */
  State look(long nowNanos) {
    boolean soon = arrived && nowNanos - lastLookNanos <= MAX_PAUSE_NANOS;
    arrived = nowNanos - claimedNanos >= ARRIVAL_NANOS;
    lastLookNanos = nowNanos;
    if (soon) {
      return State.OVER;
    }
    return nowNanos - claimedNanos >= MAX_NANOS ? State.FAILED : State.WAITING;
  }
}
