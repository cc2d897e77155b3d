package org.baykeel.gateway.quarantine;

import org.baykeel.gateway.program.RequestFingerprint;
import org.baykeel.gateway.scheduling.StableHash;

/**
 * A digest of the ends and unresolved runs that a node knows: equal at nodes that know the same,
 * whatever the order in which they learnt it.
 */
final class EvidenceDigest {
  private static final long END_SEED = 0x9E3779B97F4A7C15L;
  private static final long RUN_SEED = 0xC2B2AE3D27D4EB4FL;

  private final EngineEndHistory history;
  private final RunLedger ledger;
  private long value;
  private long historyChanges = -1;
  private long ledgerChanges = -1;

  EvidenceDigest(EngineEndHistory history, RunLedger ledger) {
    this.history = history;
    this.ledger = ledger;
  }

  /** Returns the digest; 0 without evidence. */
  long value() {
    if (historyChanges != history.changes() || ledgerChanges != ledger.changes()) {
      historyChanges = history.changes();
      ledgerChanges = ledger.changes();
      value = compute();
    }
    return value;
  }

  private long compute() {
    long digest = 0;
    for (EngineEnd end : history.ends()) {
      long engine = StableHash.of(end.engine().id().value(), end.engine().startMillis());
      for (RequestFingerprint request : end.requests()) {
        digest ^= mix(END_SEED * (engine + 1) ^ request.value());
      }
    }
    for (long runId : ledger.unresolvedIds()) {
      digest ^= mix(RUN_SEED ^ runId);
    }
    return digest;
  }

  /** The finalizer of SplitMix64. */
  private static long mix(long bits) {
    long mixed = (bits ^ bits >>> 30) * 0xBF58476D1CE4E5B9L;
    mixed = (mixed ^ mixed >>> 27) * 0x94D049BB133111EBL;
    return mixed ^ mixed >>> 31;
  }
}
