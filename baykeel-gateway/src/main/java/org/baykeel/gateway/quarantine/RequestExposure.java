package org.baykeel.gateway.quarantine;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.baykeel.gateway.directory.EngineIncarnation;
import org.baykeel.gateway.peer.RunPhase;
import org.baykeel.gateway.program.RequestFingerprint;

/**
 * Counts the engines that a request has ended or may still end: those that ended under it within
 * {@link #END_NANOS}, those at which a run of it is unresolved and, once there is a reason to guard
 * it, those that run it and the claims to send it.
 *
 * <p>Invariant: a request is sent only while fewer engines than {@link #MAX_ENGINES} count, so that
 * no more of them end under it, whenever they do.
 */
final class RequestExposure {
  /** The number of engines that may end under a request. */
  static final int MAX_ENGINES = 3;

  /**
   * How long an end counts for a request that may be innocent: longer than callers repeat a request
   * within its deadline.
   */
  static final long END_NANOS = 60_000_000_000L;

  /** The number of unresolved runs from which on runs in progress count too. */
  private static final int GUARDED_UNRESOLVED = 2;

  /** A run in progress is expected to have an outcome within this time. */
  private static final long OPEN_NANOS = 500_000_000L;

  /** An engine is asked within this time once its answer proves that it ceased a run. */
  private static final long PROOF_NANOS = 1_500_000_000L;

  private static final long SILENCE_NANOS = 500_000_000L;
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final EngineEndHistory history;
  private final RunLedger ledger;

  RequestExposure(EngineEndHistory history, RunLedger ledger) {
    this.history = history;
    this.ledger = ledger;
  }

  /** What counts for one request at one moment. */
  private static final class Count {
    private final Set<EngineIncarnation> engines = new HashSet<>();
    private final List<Long> expiries = new ArrayList<>();
    private int claims;
    private boolean guarded;

    private void add(EngineIncarnation engine, long expiresNanos) {
      if (engines.add(engine)) {
        expiries.add(expiresNanos);
      }
    }

    private void addClaim(long expiresNanos) {
      claims++;
      expiries.add(expiresNanos);
    }

    private int size() {
      return engines.size() + claims;
    }
  }

  /** Returns whether so many engines count that the request must not be sent. */
  boolean exhausted(RequestFingerprint request, long nowNanos) {
    return count(request, null, nowNanos).size() >= MAX_ENGINES;
  }

  /**
   * Returns whether a claim must be withdrawn, since the engines that count and the claims that
   * precede it exhaust the request.
   */
  boolean exhausted(TrackedRun claim, long nowNanos) {
    return count(claim.request(), claim, nowNanos).size() >= MAX_ENGINES;
  }

  /** Returns whether a request may be sent only after a claim. */
  boolean guarded(RequestFingerprint request, long nowNanos) {
    return count(request, null, nowNanos).guarded;
  }

  /** Returns the time until the request may be sent again, in milliseconds. */
  long retryMillis(RequestFingerprint request, long nowNanos) {
    List<Long> expiries = count(request, null, nowNanos).expiries;
    expiries.sort(Long::compare);
    int remaining = expiries.size() - MAX_ENGINES;
    return remaining < 0 ? 0 : Math.max(0, (expiries.get(remaining) - nowNanos) / NANOS_PER_MILLI);
  }

  private Count count(RequestFingerprint request, TrackedRun claim, long nowNanos) {
    Count count = new Count();
    for (EngineEnd end : history.endsUnder(request)) {
      if (nowNanos - end.endedNanos() <= END_NANOS) {
        count.add(end.engine(), end.endedNanos() + END_NANOS);
      }
    }
    int ended = count.size();
    List<TrackedRun> own = ledger.of(request);
    List<PeerRun> ofPeers = ledger.peerRunsOf(request, nowNanos);
    addUnresolved(count, own, ofPeers, nowNanos);
    count.guarded = ended > 0 || count.size() >= GUARDED_UNRESOLVED;
    if (count.guarded) {
      addInProgress(count, own, ofPeers, claim, nowNanos);
    }
    return count;
  }

  private static void addUnresolved(
      Count count, List<TrackedRun> own, List<PeerRun> ofPeers, long nowNanos) {
    for (TrackedRun run : own) {
      if (run.phase() == RunPhase.UNRESOLVED) {
        count.add(run.incarnation(), expectedProofNanos(run.provableNanos(), nowNanos));
      }
    }
    for (PeerRun run : ofPeers) {
      if (run.phase() == RunPhase.UNRESOLVED) {
        count.add(run.engine(), expectedProofNanos(run.provableNanos(), nowNanos));
      }
    }
  }

  /** An engine that has given no answer so far is expected to give none for some time. */
  private static long expectedProofNanos(long provableNanos, long nowNanos) {
    return Math.max(provableNanos + PROOF_NANOS, nowNanos + SILENCE_NANOS);
  }

  private static void addInProgress(
      Count count, List<TrackedRun> own, List<PeerRun> ofPeers, TrackedRun claim, long nowNanos) {
    for (TrackedRun run : own) {
      if (run.phase() == RunPhase.OPEN) {
        count.add(run.incarnation(), nowNanos + OPEN_NANOS);
      } else if (run.phase() == RunPhase.CLAIMED && precedes(run.id(), claim)) {
        count.addClaim(nowNanos + OPEN_NANOS);
      }
    }
    for (PeerRun run : ofPeers) {
      if (run.phase() == RunPhase.OPEN) {
        count.add(run.engine(), nowNanos + OPEN_NANOS);
      } else if (run.phase() == RunPhase.CLAIMED && precedes(run.id(), claim)) {
        count.addClaim(nowNanos + OPEN_NANOS);
      }
    }
  }

  /** All nodes order claims in the same way, so that one of several claims precedes all others. */
  private static boolean precedes(long runId, TrackedRun claim) {
    return claim == null || runId - claim.id() < 0;
  }
}
