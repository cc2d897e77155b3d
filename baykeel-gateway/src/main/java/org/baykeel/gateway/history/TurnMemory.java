package org.baykeel.gateway.history;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The stored turns in the memory of this node, each of them once. A turn is either held, by one or
 * more conversations, or idle. Held turns stay, and room for one that is still being read counts as
 * if it were here; of the idle ones, the least recently used are evicted.
 */
final class TurnMemory {
  private final Map<String, Held> held = new HashMap<>();
  private final LinkedHashMap<String, StoredTurn> idle = new LinkedHashMap<>(64, 0.75f, true);
  private final ConversationBounds bounds;
  private long heldBytes;
  private long idleBytes;

  /** A held turn, or the room for it. */
  private static final class Held {
    private StoredTurn turn;
    private long bytes;
    private int holders;
  }

  TurnMemory(ConversationBounds bounds) {
    this.bounds = bounds;
  }

  /** Returns a turn, or null if it is not in memory. */
  StoredTurn get(String id) {
    Held holding = held.get(id);
    return holding == null ? idle.get(id) : holding.turn;
  }

  /** Adds a turn. One that is here already is kept instead, so that no turn is here twice. */
  void put(StoredTurn turn) {
    Held holding = held.get(turn.id());
    if (holding == null) {
      StoredTurn previous = idle.putIfAbsent(turn.id(), turn);
      idleBytes += previous == null ? turn.bytes() : 0;
      evict();
    } else if (holding.turn == null) {
      holding.turn = turn;
      resize(holding, turn.bytes());
    }
  }

  /** Returns the bytes by which turns would add to those that are held. */
  long missingBytes(List<TurnSize> turns) {
    return turns.stream()
        .filter(turn -> !held.containsKey(turn.id()))
        .mapToLong(TurnSize::bytes)
        .sum();
  }

  /** Holds turns, which are distinct, or the room for them until they are added. */
  void hold(List<TurnSize> turns) {
    for (TurnSize turn : turns) {
      Held holding = held.computeIfAbsent(turn.id(), id -> new Held());
      if (holding.holders++ == 0) {
        holding.turn = idle.remove(turn.id());
        idleBytes -= holding.turn == null ? 0 : holding.turn.bytes();
        resize(holding, holding.turn == null ? turn.bytes() : holding.turn.bytes());
      }
    }
    evict();
  }

  /** Ends one holding of each of the turns. */
  void release(List<TurnSize> turns) {
    for (TurnSize turn : turns) {
      Held holding = held.get(turn.id());
      if (--holding.holders == 0) {
        resize(holding, 0);
        held.remove(turn.id());
        if (holding.turn != null) {
          put(holding.turn);
        }
      }
    }
  }

  private void resize(Held holding, long bytes) {
    heldBytes += bytes - holding.bytes;
    holding.bytes = bytes;
  }

  private void evict() {
    long limit = Math.min(bounds.idleBytes(), bounds.nodeBytes() - heldBytes);
    Iterator<StoredTurn> eldest = idle.values().iterator();
    while (idleBytes > limit && eldest.hasNext()) {
      idleBytes -= eldest.next().bytes();
      eldest.remove();
    }
  }

  /** Returns the bytes of the turns that are held, and of the room for those being read. */
  long heldBytes() {
    return heldBytes;
  }

  /** Returns the bytes of all turns in memory. */
  long totalBytes() {
    return heldBytes + idleBytes;
  }
}
