package org.baykeel.emulator.engine;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * An emulated prefix cache in limited memory. A program's history only grows, so one prefix for
 * each program is kept; the least recently used goes first. Prefixes shared between programs are
 * not modelled.
 */
final class PrefixCache {
  private final long capacityTokens;
  private final int blockTokens;
  private final LinkedHashMap<String, Integer> tokensByProgram =
      new LinkedHashMap<>(16, 0.75f, true);
  private long usedTokens;
  private long evictedTokens;

  PrefixCache(long capacityTokens, int blockTokens) {
    this.capacityTokens = capacityTokens;
    this.blockTokens = blockTokens;
  }

  /** Tokens of a program's prefix that can be reused for a prompt; marks it as used. */
  int lookUp(String programId, int promptTokens) {
    Integer cached = tokensByProgram.get(programId);
    int reusable = cached == null ? 0 : Math.min(cached, promptTokens);
    return reusable - reusable % blockTokens;
  }

  /** Keeps a program's prefix; others go if there is no room. */
  void put(String programId, int tokens, Predicate<String> inUse) {
    if (programId.isEmpty()) {
      return;
    }
    remove(programId);
    int whole = tokens - tokens % blockTokens;
    makeRoom(whole, inUse);
    if (usedTokens + whole <= capacityTokens) {
      tokensByProgram.put(programId, whole);
      usedTokens += whole;
    }
  }

  private void makeRoom(int tokens, Predicate<String> inUse) {
    Iterator<Map.Entry<String, Integer>> oldest = tokensByProgram.entrySet().iterator();
    while (usedTokens + tokens > capacityTokens && oldest.hasNext()) {
      Map.Entry<String, Integer> entry = oldest.next();
      if (!inUse.test(entry.getKey())) {
        usedTokens -= entry.getValue();
        evictedTokens += entry.getValue();
        oldest.remove();
      }
    }
  }

  void remove(String programId) {
    Integer tokens = tokensByProgram.remove(programId);
    if (tokens != null) {
      usedTokens -= tokens;
    }
  }

  List<String> programs() {
    return new ArrayList<>(tokensByProgram.keySet());
  }

  long freeTokens() {
    return capacityTokens - usedTokens;
  }

  long evictedTokens() {
    return evictedTokens;
  }
}
