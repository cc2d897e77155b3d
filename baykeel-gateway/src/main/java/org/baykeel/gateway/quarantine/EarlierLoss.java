package org.baykeel.gateway.quarantine;

import java.util.List;
import org.baykeel.gateway.peer.PeerAddress;
import org.baykeel.gateway.peer.PeerDirectory;
import org.baykeel.gateway.runtime.EventLoop;
import org.baykeel.gateway.telemetry.GatewayEvent;
import org.baykeel.gateway.telemetry.GatewayLog;

/**
 * Whether all nodes were lost shortly before this one started, so that engines may have ended with
 * them unseen, and may do so again. It is assumed from the start on until a peer replies that has
 * run for longer: it knows the runs that the lost nodes registered.
 */
final class EarlierLoss {
  /** No run has this identifier. */
  static final long NO_RUN = 0;

  /** For so long after a loss all nodes may be lost again, together with what their peers know. */
  private static final long REPEATED_NANOS = 60_000_000_000L;

  /** For so long an engine counts that may have ended unseen. */
  private static final long UNSEEN_NANOS = 600_000_000_000L;

  /** Peers that run reply within this time. */
  private static final long REPLY_MILLIS = 600;

  /** Nodes that are started together, after all were lost, start within this time. */
  private static final long START_MILLIS = 5_000;

  /** The most peers that are queried. */
  private static final int MAX_QUERIED = 16;

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final PeerDirectory peers;
  private final RunNotifier notifier;
  private final EventLoop eventLoop;
  private final GatewayLog log;
  private long startedNanos;
  private boolean started;
  private boolean assumed;

  EarlierLoss(PeerDirectory peers, RunNotifier notifier, EventLoop eventLoop, GatewayLog log) {
    this.peers = peers;
    this.notifier = notifier;
    this.eventLoop = eventLoop;
    this.log = log;
  }

  /** Starts to find out, once the addresses of the peers have been read. */
  void start() {
    if (started) {
      return;
    }
    started = true;
    startedNanos = eventLoop.nanoTime();
    List<PeerAddress> queried = peers.peers().stream().limit(MAX_QUERIED).toList();
    assumed = !queried.isEmpty();
    queried.forEach(peer -> notifier.query(peer, NO_RUN));
    eventLoop.scheduleTimeLimit(REPLY_MILLIS, () -> conclude(queried));
  }

  /**
   * Handles the reply of a peer.
   *
   * @param uptimeMillis the time since the peer started, in milliseconds
   */
  void onReply(long uptimeMillis) {
    long ownMillis = (eventLoop.nanoTime() - startedNanos) / NANOS_PER_MILLI;
    assumed &= uptimeMillis < ownMillis + START_MILLIS;
  }

  private void conclude(List<PeerAddress> queried) {
    long silent = queried.stream().filter(peer -> peers.heardNanos(peer).isEmpty()).count();
    assumed &= silent > 0 || peers.ownRowLeftBehind();
    if (assumed) {
      log.write(
          GatewayEvent.EARLIER_LOSS,
          "own",
          peers.ownRowLeftBehind(),
          "silent",
          silent,
          "peers",
          queried.size());
    }
  }

  /** Returns whether runs in progress are kept in the store too. */
  boolean mayRepeat() {
    return assumed && eventLoop.nanoTime() - startedNanos < REPEATED_NANOS;
  }

  /** Returns the number of engines that may have ended unseen under a request. */
  int unseenEnds() {
    return assumed && eventLoop.nanoTime() - startedNanos < UNSEEN_NANOS ? 1 : 0;
  }
}
