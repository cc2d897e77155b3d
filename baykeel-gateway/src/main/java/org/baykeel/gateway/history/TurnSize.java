package org.baykeel.gateway.history;

/**
 * A stored turn and its memory.
 *
 * @param id the identifier of its request
 * @param bytes the bytes of its input and output, or an upper bound of them
 */
record TurnSize(String id, long bytes) {
  static TurnSize of(StoredTurn turn) {
    return new TurnSize(turn.id(), turn.bytes());
  }
}
