package org.baykeel.gateway.history;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** Stored turns in memory, bounded by bytes; the least recently used ones are evicted. */
final class TurnCache {
  private final LinkedHashMap<String, StoredTurn> turns = new LinkedHashMap<>(64, 0.75f, true);
  private final long maxBytes;
  private long bytes;

  TurnCache(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  StoredTurn get(String id) {
    return turns.get(id);
  }

  void put(StoredTurn turn) {
    StoredTurn previous = turns.put(turn.id(), turn);
    bytes += turn.bytes() - (previous == null ? 0 : previous.bytes());
    Iterator<Map.Entry<String, StoredTurn>> eldest = turns.entrySet().iterator();
    while (bytes > maxBytes && eldest.hasNext()) {
      bytes -= eldest.next().getValue().bytes();
      eldest.remove();
    }
  }
}
