package org.baykeel.gateway.quarantine;

import org.baykeel.gateway.directory.EngineIncarnation;
import org.baykeel.gateway.peer.PeerAddress;
import org.baykeel.gateway.peer.RunPhase;
import org.baykeel.gateway.program.RequestFingerprint;

/**
 * A run of which a peer sent a notice.
 *
 * @param key identifies the run
 * @param engine the engine; that of {@link EngineIncarnation#NONE} while the run is a claim
 * @param startedNanos when it began, by the event loop's clock
 * @param expiresNanos until when the notice holds, by the event loop's clock
 */
record PeerRun(
    Key key,
    RequestFingerprint request,
    EngineIncarnation engine,
    RunPhase phase,
    long startedNanos,
    long expiresNanos) {

  /** Identifies a run among those of all peers. */
  record Key(PeerAddress owner, long runId) {}

  PeerRun expiringAt(long nanos) {
    return new PeerRun(key, request, engine, phase, startedNanos, nanos);
  }
}
