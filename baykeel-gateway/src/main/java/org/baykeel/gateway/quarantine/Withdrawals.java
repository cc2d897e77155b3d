package org.baykeel.gateway.quarantine;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * When evidence about engines or requests was withdrawn, for the most recent ones.
 *
 * @param <K> what the evidence is about
 */
final class Withdrawals<K> {
  private static final int MAX_WITHDRAWALS = 4_096;

  private final Map<K, Long> withdrawnNanos =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<K, Long> eldest) {
          return size() > MAX_WITHDRAWALS;
        }
      };

  /** Records that all evidence so far is withdrawn. */
  void record(K subject, long nowNanos) {
    withdrawnNanos.remove(subject);
    withdrawnNanos.put(subject, nowNanos);
  }

  /** Returns whether evidence of a time was withdrawn later. */
  boolean cover(K subject, long evidenceNanos) {
    Long withdrawn = withdrawnNanos.get(subject);
    return withdrawn != null && evidenceNanos - withdrawn <= 0;
  }
}
