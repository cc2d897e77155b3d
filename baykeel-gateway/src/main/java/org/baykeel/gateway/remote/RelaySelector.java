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

  private final RelayCandidates known;
  private final RandomGenerator random;
  private PeerAddress current;
  private int consecutiveFailures;
  private long pausedUntilNanos;

  RelaySelector(RelayCandidates known, RandomGenerator random) {
    this.known = known;
    this.random = random;
  }

  /**
   * A node to ask.
   *
   * @param asked nodes that had the call already
   * @return a node, or null if none is to be asked now
   */
  PeerAddress next(Collection<PeerAddress> asked, long nowNanos) {
    if (paused(nowNanos)) {
      return null;
    }
    if (current != null && !asked.contains(current)) {
      return current;
    }
    PeerAddress near = anyOf(known.near(), asked);
    return near != null ? near : anyOf(known.far(), asked);
  }

  private PeerAddress anyOf(Collection<PeerAddress> nodes, Collection<PeerAddress> asked) {
    List<PeerAddress> candidates = new ArrayList<>(nodes);
    candidates.removeAll(asked);
    return candidates.isEmpty() ? null : candidates.get(random.nextInt(candidates.size()));
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
