package org.baykeel.gateway.quarantine;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
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

  /** A withdrawal of all evidence of times up to one. */
  record Withdrawal<K>(K subject, long nanos) {}

  /** Records that all evidence of times up to the given one is withdrawn. */
  void record(K subject, long nanos) {
    Long before = withdrawnNanos.remove(subject);
    withdrawnNanos.put(subject, before == null || nanos - before > 0 ? nanos : before);
  }

  /** Returns the latest withdrawals after a time, up to a number. */
  List<Withdrawal<K>> latest(int count, long afterNanos) {
    List<Withdrawal<K>> latest = new ArrayList<>();
    withdrawnNanos.forEach(
        (subject, nanos) -> {
          if (nanos - afterNanos > 0) {
            latest.add(new Withdrawal<>(subject, nanos));
          }
        });
    return latest.subList(Math.max(0, latest.size() - count), latest.size());
  }

  /** Returns whether evidence of a time was withdrawn later. */
  boolean cover(K subject, long evidenceNanos) {
    Long withdrawn = withdrawnNanos.get(subject);
    return withdrawn != null && evidenceNanos - withdrawn <= 0;
  }
}
