package org.baykeel.gateway.quarantine;

import org.baykeel.gateway.directory.EngineIncarnation;
import org.baykeel.gateway.peer.PeerAddress;
import org.baykeel.gateway.peer.PeerDirectory;
import org.baykeel.gateway.peer.PeerMessage;
import org.baykeel.gateway.peer.PeerMessageCodec;
import org.baykeel.gateway.peer.PeerTransport;
import org.baykeel.gateway.peer.RunPhase;
import org.baykeel.gateway.program.RequestFingerprint;
import org.baykeel.gateway.runtime.EventLoop;

/** Notifies all peers of runs of this node that are unresolved or that are guarded. */
final class RunNotifier {
  private static final long BYTES_PER_SECOND = 65_536;
  private static final long BURST_BYTES = 262_144;
  private static final long[] REPEAT_MILLIS = {15, 150, 600, 2_000};

  /** A claim is followed within this time by a notice of the run, or withdrawn. */
  private static final long CLAIM_MILLIS = 1_000;

  /** More than the error of a time that was converted between the clocks of two nodes. */
  private static final long MARGIN_MILLIS = 3_000;

  private static final long NANOS_PER_MILLI = 1_000_000;

  /** A notice of a run in progress holds for so long after the run's deadline. */
  static final long OPEN_MARGIN_NANOS =
      (RunTracker.MAX_PROOF_MILLIS + MARGIN_MILLIS) * NANOS_PER_MILLI;

  /** The request of a notice that tells a phase only; the run is known by its identifier. */
  static final RequestFingerprint UNNAMED = new RequestFingerprint(0);

  private final EventLoop eventLoop;
  private final long startedNanos;
  private final PeerBroadcast broadcast;

  /**
   * Registrations, queries and replies have a limit of their own: a query without a reply leads to
   * notices to all peers.
   */
  private final PeerBroadcast direct;

  RunNotifier(
      PeerDirectory peers, PeerTransport transport, PeerMessageCodec codec, EventLoop eventLoop) {
    this.eventLoop = eventLoop;
    this.startedNanos = eventLoop.nanoTime();
    this.broadcast =
        new PeerBroadcast(
            peers, transport, codec, eventLoop, BYTES_PER_SECOND, BURST_BYTES, REPEAT_MILLIS);
    this.direct =
        new PeerBroadcast(peers, transport, codec, eventLoop, BYTES_PER_SECOND, BURST_BYTES);
  }

  /** Sends what is known of a run, unless it changes before a repetition. */
  void send(TrackedRun run) {
    run.markAnnounced();
    RunPhase phase = run.phase();
    broadcast.sendRepeatedly(() -> run.phase() == phase ? notice(run) : null);
  }

  /** Sends what is known of a run to a peer that has started. */
  void sendTo(PeerAddress peer, TrackedRun run) {
    broadcast.sendTo(peer, notice(run));
  }

  /** Passes the notice of another node on to a peer that has started. */
  void sendTo(PeerAddress peer, PeerRun run) {
    broadcast.sendTo(peer, notice(run));
  }

  /** Sends what is known of a run of another node, which this one cannot follow. */
  void send(PeerRun run) {
    broadcast.sendRepeatedly(() -> notice(run));
  }

  /** Registers a run in progress at a peer, or replies to its query. */
  void register(PeerAddress peer, TrackedRun run) {
    direct.sendTo(peer, notice(run));
  }

  /** Replies to the query of a peer with what another node told. */
  void reply(PeerAddress peer, PeerRun run) {
    direct.sendTo(peer, notice(run));
  }

  /**
   * Asks a peer what it knows of a run.
   *
   * @return whether the limit allowed it
   */
  boolean query(PeerAddress peer, long runId) {
    return direct.sendTo(peer, new PeerMessage.EngineRunQuery(runId));
  }

  /**
   * Tells a peer why this node does not follow a run, and how long this node has run.
   *
   * @param phase whether the run is closed, or was never followed by this incarnation
   */
  void sendPhase(PeerAddress peer, long runId, RunPhase phase) {
    direct.sendTo(
        peer,
        new PeerMessage.EngineRunNotice(
            runId, UNNAMED, EngineIncarnation.NONE, phase, uptimeMillis(), 0));
  }

  private long uptimeMillis() {
    return (eventLoop.nanoTime() - startedNanos) / NANOS_PER_MILLI;
  }

  /** Returns the notice of a run of another node, or of an earlier incarnation of this one. */
  PeerMessage.EngineRunNotice notice(PeerRun run) {
    long now = eventLoop.nanoTime();
    return new PeerMessage.EngineRunNotice(
        run.id(),
        run.request(),
        run.engine(),
        run.phase(),
        (now - run.startedNanos()) / NANOS_PER_MILLI,
        millis(run.provableNanos() - now));
  }

  /** Returns what is known of a run now. */
  PeerMessage.EngineRunNotice notice(TrackedRun run) {
    long now = eventLoop.nanoTime();
    return new PeerMessage.EngineRunNotice(
        run.id(),
        run.request(),
        run.incarnation(),
        run.phase(),
        (now - run.startedNanos()) / NANOS_PER_MILLI,
        remainingMillis(run, now));
  }

  private static long remainingMillis(TrackedRun run, long nowNanos) {
    return switch (run.phase()) {
      case CLAIMED -> CLAIM_MILLIS;
      case OPEN -> millis(run.deadlineNanos() - nowNanos + OPEN_MARGIN_NANOS);
      case UNRESOLVED, ORPHANED -> millis(run.provableNanos() - nowNanos) + MARGIN_MILLIS;
      case CLOSED, COMPLETED -> 0;
    };
  }

  private static long millis(long nanos) {
    return Math.max(0, nanos / NANOS_PER_MILLI);
  }

  /** Returns how many datagrams were not sent because of the limit. */
  long noticesDropped() {
    return broadcast.dropped() + direct.dropped();
  }
}
