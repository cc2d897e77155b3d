package org.baykeel.gateway.quarantine;

import org.baykeel.gateway.peer.PeerAddress;
import org.baykeel.gateway.runtime.EventLoop;

/**
 * Reads what other nodes know from the rows of the store while their notices may not arrive. A node
 * that is not in touch awaits it for each request. One that is in touch, but not with all nodes,
 * awaits it for the claims of guarded requests only.
 */
final class StoredEvidence implements SharedEvidence {
  /** A store that does not respond within this time is not awaited. */
  private static final long MAX_WAIT_NANOS = 500_000_000L;

  private final PeerReachability reachability;
  private final EngineEndTable table;
  private final EventLoop eventLoop;

  /** Awaits a round of the table. */
  private final class RoundWait implements Wait {
    private final SharedRounds.Round round;
    private final boolean required;
    private final long sinceNanos = eventLoop.nanoTime();

    RoundWait(SharedRounds.Round round, boolean required) {
      this.round = round;
      this.required = required;
    }

    private boolean tooLate() {
      boolean waited = eventLoop.nanoTime() - sinceNanos >= MAX_WAIT_NANOS;
      return !round.finished() && (waited || table.isDelayed(MAX_WAIT_NANOS));
    }

    @Override
    public boolean over() {
      return round.finished() || tooLate();
    }

    @Override
    public boolean failed() {
      return required && tooLate();
    }
  }

  StoredEvidence(PeerReachability reachability, EngineEndTable table, EventLoop eventLoop) {
    this.reachability = reachability;
    this.table = table;
    this.eventLoop = eventLoop;
  }

  @Override
  public boolean isUnreachable(PeerAddress peer) {
    return reachability.isUnreachable(peer);
  }

  @Override
  public Wait awaitEvidence() {
    return reachability.inTouch() ? Wait.NONE : new RoundWait(table.read(), true);
  }

  @Override
  public boolean expectsNotices() {
    return reachability.mayReturnSoon();
  }

  @Override
  public Wait confirmClaim() {
    return reachability.fullyInTouch()
        ? Wait.NONE
        : new RoundWait(table.confirm(), !reachability.inTouch());
  }
}
