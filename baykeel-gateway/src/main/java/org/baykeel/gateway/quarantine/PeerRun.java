package org.baykeel.gateway.quarantine;

import org.baykeel.gateway.directory.EngineIncarnation;
import org.baykeel.gateway.peer.PeerMessage;
import org.baykeel.gateway.peer.RunPhase;
import org.baykeel.gateway.program.RequestFingerprint;

/**
 * A run of another node, or of an earlier incarnation of this one, of which there was a notice.
 *
 * @param id identifies the run among those of all nodes
 * @param engine the engine; that of {@link EngineIncarnation#NONE} while the run is a claim
 * @param startedNanos when it began, by the event loop's clock
 * @param provableNanos from when a response of the engine to another request proves that it no
 *     longer runs this one, by the event loop's clock
 * @param expiresNanos until when the notice holds, by the event loop's clock
 */
record PeerRun(
    long id,
    RequestFingerprint request,
    EngineIncarnation engine,
    RunPhase phase,
    long startedNanos,
    long provableNanos,
    long expiresNanos) {

  private static final long NANOS_PER_MILLI = 1_000_000;

  /**
   * Returns the run that a notice tells of.
   *
   * @param writtenNanos when the notice was written, by the event loop's clock
   */
  static PeerRun of(PeerMessage.EngineRunNotice notice, long writtenNanos) {
    long provableNanos = writtenNanos + notice.remainingMillis() * NANOS_PER_MILLI;
    long extraNanos = notice.phase().unresolved() ? RequestExposure.HOLD_NANOS : 0;
    return new PeerRun(
        notice.runId(),
        notice.request(),
        notice.engine(),
        notice.phase(),
        writtenNanos - notice.ageMillis() * NANOS_PER_MILLI,
        provableNanos,
        provableNanos + extraNanos);
  }

  PeerRun expiringAt(long nanos) {
    return new PeerRun(id, request, engine, phase, startedNanos, provableNanos, nanos);
  }

  /** Returns the run once its node does not respond any more. */
  PeerRun orphaned(long nowNanos, long newExpiresNanos) {
    return new PeerRun(
        id, request, engine, RunPhase.ORPHANED, startedNanos, nowNanos, newExpiresNanos);
  }

  /** Returns until when the engine was asked to run the request, by the event loop's clock. */
  long deadlineNanos() {
    return provableNanos - RunNotifier.OPEN_MARGIN_NANOS;
  }

  /** Returns the run as a later notice tells it, provable as soon as by this one. */
  PeerRun updatedBy(PeerRun later) {
    boolean sooner = phase == later.phase && provableNanos - later.provableNanos < 0;
    return sooner ? later.provableFrom(provableNanos) : later;
  }

  private PeerRun provableFrom(long nanos) {
    return new PeerRun(id, request, engine, phase, startedNanos, nanos, expiresNanos);
  }
}
