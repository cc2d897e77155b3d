package org.baykeel.gateway.quarantine;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.IntSupplier;
import org.baykeel.gateway.directory.EngineIncarnation;
import org.baykeel.gateway.peer.RunPhase;
import org.baykeel.gateway.program.RequestFingerprint;

/**
 * Counts the engines that a request has ended or may still end: those that ended under it, those at
 * which a run of it is unresolved and, once there is a reason to guard it, those that run it and
 * the claims to send it.
 *
 * <p>Invariant: a request is sent only while fewer engines than {@link #MAX_ENGINES} count, so that
 * no more of them end under it, whenever they do. Ends count as long as they are evidence. A
 * request that may be innocent gets one send more, and no other beside it, once it has been held
 * for {@link #HOLD_NANOS}: a completed run clears it, a further end counts like the others. A node
 * that may have missed ends does not send it then, unless fewer engines are known to have ended.
 */
final class RequestExposure {
  /** The number of engines that may end under a request. */
  static final int MAX_ENGINES = 3;

  /**
   * How long a request is held after the last of three engines began to count: longer than callers
   * repeat a request within its deadline.
   */
  static final long HOLD_NANOS = 60_000_000_000L;

  /** The number of unresolved runs from which on runs in progress count too. */
  private static final int GUARDED_UNRESOLVED = 2;

  /** A run in progress is expected to have an outcome within this time. */
  private static final long OPEN_NANOS = 500_000_000L;

  /** An engine is asked within this time once its answer proves that it ceased a run. */
  private static final long PROOF_NANOS = 1_500_000_000L;

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final EngineEndHistory history;
  private final RunLedger ledger;
  private final IntSupplier unseenEnds;

  /**
   * Creates a count.
   *
   * @param unseenEnds returns how many engines may have ended, or may end, unseen under any request
   */
  RequestExposure(EngineEndHistory history, RunLedger ledger, IntSupplier unseenEnds) {
    this.history = history;
    this.ledger = ledger;
    this.unseenEnds = unseenEnds;
  }

  /** What counts for one request at one moment. */
  private static final class Count {
    private final Set<EngineIncarnation> engines = new HashSet<>();
    private final List<Long> expiries = new ArrayList<>();
    private int exposed;
    private int ended;
    private long lastExposedNanos;
    private int claims;
    private int storedClaims;
    private boolean orphaned;
    private boolean guarded;
    private final int maxEngines;

    Count(int maxEngines) {
      this.maxEngines = maxEngines;
    }

    /**
     * Adds an engine that ended or at which a run is unresolved.
     *
     * @param sinceNanos when it ended, or the run began
     */
    private void addExposed(EngineIncarnation engine, long sinceNanos, long expiresNanos) {
      boolean last = exposed == 0 || sinceNanos - lastExposedNanos > 0;
      lastExposedNanos = last ? sinceNanos : lastExposedNanos;
      exposed += add(engine, expiresNanos) ? 1 : 0;
    }

    private boolean add(EngineIncarnation engine, long expiresNanos) {
      boolean added = engines.add(engine);
      if (added) {
        expiries.add(expiresNanos);
      }
      return added;
    }

    private void addClaim(long expiresNanos) {
      claims++;
      expiries.add(expiresNanos);
    }

    /** Whether the request gets a further send once it was held long enough. */
    private boolean holdEnds() {
      boolean missedNone = maxEngines == MAX_ENGINES;
      return exposed == maxEngines && (missedNone || ended < maxEngines);
    }

    private boolean exhausted(long nowNanos) {
      boolean heldLongEnough = holdEnds() && nowNanos - lastExposedNanos >= HOLD_NANOS;
      return engines.size() + claims >= (heldLongEnough ? maxEngines + 1 : maxEngines);
    }

    private long retryNanos() {
      expiries.sort(Long::compare);
      int remaining = expiries.size() - maxEngines;
      if (remaining < 0) {
        return Long.MIN_VALUE;
      }
      long expiryNanos = expiries.get(remaining);
      long holdEndNanos = lastExposedNanos + HOLD_NANOS;
      return holdEnds() ? Math.min(expiryNanos, holdEndNanos) : expiryNanos;
    }
  }

  /** Returns whether so many engines count that the request must not be sent. */
  boolean exhausted(RequestFingerprint request, long nowNanos) {
    return count(request, null, nowNanos).exhausted(nowNanos);
  }

  /**
   * Returns whether a claim must be withdrawn, since the engines that count and the claims that
   * precede it exhaust the request.
   */
  boolean exhausted(TrackedRun claim, long nowNanos) {
    return count(claim.request(), claim, nowNanos).exhausted(nowNanos);
  }

  /**
   * Returns whether it depends on claims that were read from the store, and that the given claim
   * precedes, whether the request is exhausted: their nodes may have decided before they could read
   * it.
   */
  boolean contested(TrackedRun claim, long nowNanos) {
    Count count = count(claim.request(), claim, nowNanos);
    count.claims += count.storedClaims;
    return count.exhausted(nowNanos);
  }

  /** Returns whether a request may be sent only after a claim. */
  boolean guarded(RequestFingerprint request, long nowNanos) {
    return count(request, null, nowNanos).guarded;
  }

  /** Returns the time until the request may be sent again, in milliseconds. */
  long retryMillis(RequestFingerprint request, long nowNanos) {
    long retryNanos = count(request, null, nowNanos).retryNanos();
    return retryNanos == Long.MIN_VALUE
        ? 0
        : Math.max(0, (retryNanos - nowNanos) / NANOS_PER_MILLI);
  }

  private Count count(RequestFingerprint request, TrackedRun claim, long nowNanos) {
    Count count = new Count(Math.max(1, MAX_ENGINES - unseenEnds.getAsInt()));
    for (EngineEnd end : history.endsUnder(request)) {
      long expiresNanos = end.endedNanos() + EngineEndHistory.LIFETIME_NANOS;
      if (nowNanos - expiresNanos <= 0) {
        count.addExposed(end.engine(), end.endedNanos(), expiresNanos);
      }
    }
    count.ended = count.exposed;
    List<TrackedRun> own = ledger.of(request);
    List<PeerRun> ofPeers = ledger.peerRunsOf(request, nowNanos);
    addUnresolved(count, own, ofPeers, nowNanos);
    count.guarded = count.ended > 0 || count.orphaned || count.exposed >= GUARDED_UNRESOLVED;
    if (count.guarded) {
      addInProgress(count, own, ofPeers, claim, nowNanos);
    }
    return count;
  }

  private static void addUnresolved(
      Count count, List<TrackedRun> own, List<PeerRun> ofPeers, long nowNanos) {
    for (TrackedRun run : own) {
      if (run.phase().unresolved()) {
        count.orphaned |= run.orphaned();
        long proofNanos = expectedProofNanos(run.startedNanos(), run.provableNanos(), nowNanos);
        count.addExposed(run.incarnation(), run.startedNanos(), proofNanos);
      }
    }
    for (PeerRun run : ofPeers) {
      if (run.phase().unresolved()) {
        count.orphaned |= run.phase() == RunPhase.ORPHANED;
        long proofNanos = expectedProofNanos(run.startedNanos(), run.provableNanos(), nowNanos);
        count.addExposed(run.engine(), run.startedNanos(), proofNanos);
      }
    }
  }

  /** An engine that has not responded although it was asked may never respond. */
  private static long expectedProofNanos(long startedNanos, long provableNanos, long nowNanos) {
    long proofNanos = provableNanos + PROOF_NANOS;
    return proofNanos - nowNanos > 0 ? proofNanos : startedNanos + EngineEndHistory.LIFETIME_NANOS;
  }

  private void addInProgress(
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
      } else if (run.phase() == RunPhase.CLAIMED && ledger.isStored(run.id())) {
        count.storedClaims++;
      }
    }
  }

  /** All nodes order claims in the same way, so that one of several claims precedes all others. */
  private static boolean precedes(long runId, TrackedRun claim) {
    return claim == null || runId - claim.id() < 0;
  }
}
