package org.baykeel.gateway.quarantine;

import org.baykeel.gateway.program.RequestFingerprint;
import org.baykeel.gateway.scheduling.StableHash;

/**
 * A digest of the ends that a node knows, with the requests under which they happened: equal at
 * nodes that know the same, whatever the order in which they learnt it. Unresolved runs are left
 * out, since each node finds out by itself which of them are over.
 */
final class EvidenceDigest {
  private static final long END_SEED = 0x9E3779B97F4A7C15L;

  private final EngineEndHistory history;
  private long value;
  private long historyChanges = -1;

  EvidenceDigest(EngineEndHistory history) {
    this.history = history;
  }

  /** Returns the digest; 0 without evidence. */
  long value() {
    if (historyChanges != history.changes()) {
      historyChanges = history.changes();
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
    return digest;
  }

  /** The finalizer of SplitMix64. */
  private static long mix(long bits) {
    long mixed = (bits ^ bits >>> 30) * 0xBF58476D1CE4E5B9L;
    mixed = (mixed ^ mixed >>> 27) * 0x94D049BB133111EBL;
    return mixed ^ mixed >>> 31;
  }
}
