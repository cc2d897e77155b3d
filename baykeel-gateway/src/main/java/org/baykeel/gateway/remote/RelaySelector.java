package org.baykeel.gateway.remote;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.random.RandomGenerator;
import org.baykeel.gateway.peer.PeerAddress;

/**
 * Selects the node that relays calls to the store. A node that has relayed a call is selected until
 * it fails; then another is selected at random, from this node's region as long as one remains.
 * After several consecutive failures the selector pauses and selects no node, since the store is
 * probably unreachable from all nodes.
 */
final class RelaySelector {
  /** Consecutive failures after which the selector pauses. */
  private static final int FAILURES_UNTIL_PAUSE = 3;

  /** Duration of a pause, from the last failure. */
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
   * Selects a node.
   *
   * @param tried the nodes to which the call was already sent
   * @return a node, or null if none is available or selection is paused
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
