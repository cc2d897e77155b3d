package org.baykeel.gateway.quarantine;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.baykeel.gateway.peer.PeerAddress;
import org.baykeel.gateway.runtime.EventLoop;

/**
 * Decides when a peer is sent all evidence that this node has: when it is reached again, and when
 * its digest shows that it does not know the same. Notices are sent a few times only, so a peer
 * that was cut off, or lost them all, would not learn of them otherwise.
 */
final class EvidenceExchange {
  /** Notices that are on their way arrive within this time. */
  private static final long ARRIVAL_NANOS = 100_000_000L;

  /** While the digests go on to differ, the evidence is sent again after this time, doubling. */
  private static final long MIN_PAUSE_NANOS = 250_000_000L;

  private static final long MAX_PAUSE_NANOS = 30_000_000_000L;

  private final EventLoop eventLoop;
  private final Consumer<PeerAddress> sender;
  private final Map<PeerAddress, Difference> differences = new HashMap<>();

  /** Since when the digest of a peer differs. */
  private static final class Difference {
    private final long sinceNanos;
    private long pauseNanos = MIN_PAUSE_NANOS;
    private long notBeforeNanos;

    Difference(long sinceNanos) {
      this.sinceNanos = sinceNanos;
      this.notBeforeNanos = sinceNanos;
    }
  }

  /**
   * Creates an exchange.
   *
   * @param sender sends all evidence to a peer
   */
  EvidenceExchange(EventLoop eventLoop, Consumer<PeerAddress> sender) {
    this.eventLoop = eventLoop;
    this.sender = sender;
  }

  /**
   * Compares the digest of a peer with that of this node.
   *
   * @param returned whether the peer could not be reached before
   */
  void compare(PeerAddress peer, long digest, long ownDigest, boolean returned) {
    if (digest == ownDigest || returned) {
      differences.remove(peer);
    }
    if (returned) {
      // Its digest does not tell whether it knows the unresolved runs.
      sender.accept(peer);
      return;
    }
    if (digest == ownDigest) {
      return;
    }
    long now = eventLoop.nanoTime();
    Difference difference = differences.computeIfAbsent(peer, any -> new Difference(now));
    boolean onTheWay = now - difference.sinceNanos < ARRIVAL_NANOS;
    if (onTheWay || now - difference.notBeforeNanos < 0) {
      return;
    }
    difference.notBeforeNanos = now + difference.pauseNanos;
    difference.pauseNanos = Math.min(2 * difference.pauseNanos, MAX_PAUSE_NANOS);
    sender.accept(peer);
  }
}
