package org.baykeel.gateway.remote;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.random.RandomGenerator;
import org.baykeel.gateway.peer.PeerAddress;

/**
 * Which node relays calls to the store: one that has done so keeps the task until it fails; then
 * another is picked at random, one of this node's region while there is any. After several failures
 * in a row, no node is asked for a while, since the store is probably away for all.
 */
final class RelaySelector {
  /** Consecutive failures after which no node is asked for a while. */
  private static final int FAILURES_UNTIL_PAUSE = 3;

  private static final long PAUSE_NANOS = 1_000_000_000L;

  private final RelayCandidates candidates;
  private final RandomGenerator random;
  private PeerAddress current;
  private int consecutiveFailures;
  private long pausedUntilNanos;

  RelaySelector(RelayCandidates candidates, RandomGenerator random) {
    this.candidates = candidates;
    this.random = random;
  }

  /**
   * A node to ask.
   *
   * @param tried nodes that had the call already
   * @return a node, or null if none is to be asked now
   */
  PeerAddress next(Collection<PeerAddress> tried, long nowNanos) {
    if (paused(nowNanos)) {
      return null;
    }
    if (current != null && !tried.contains(current)) {
      return current;
    }
    PeerAddress sameRegion = randomUntried(candidates.sameRegion(), tried);
    return sameRegion != null ? sameRegion : randomUntried(candidates.otherRegions(), tried);
  }

  private PeerAddress randomUntried(Collection<PeerAddress> nodes, Collection<PeerAddress> tried) {
    List<PeerAddress> untried = new ArrayList<>(nodes);
    untried.removeAll(tried);
    return untried.isEmpty() ? null : untried.get(random.nextInt(untried.size()));
  }

  private boolean paused(long nowNanos) {
    return consecutiveFailures >= FAILURES_UNTIL_PAUSE && nowNanos - pausedUntilNanos < 0;
  }

  void answered(PeerAddress peer) {
    current = peer;
    consecutiveFailures = 0;
  }

  void failed(PeerAddress peer, long nowNanos) {
    if (peer.equals(current)) {
      current = null;
    }
    consecutiveFailures++;
    pausedUntilNanos = nowNanos + PAUSE_NANOS;
  }
}
