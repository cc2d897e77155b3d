package org.baykeel.gateway.history;

import java.util.ArrayList;
import java.util.List;
import org.baykeel.gateway.buffering.EngineBody;

/**
 * A stored turn with all turns that it continues, held in memory until it is closed. Its turns are
 * shared with other conversations.
 */
public final class Conversation {
  private final List<String> ids;
  private final Runnable onClose;
  private List<StoredTurn> turns;

  Conversation(List<StoredTurn> turns, Runnable onClose) {
    this.turns = List.copyOf(turns);
    this.ids = turns.stream().map(StoredTurn::id).toList();
    this.onClose = onClose;
  }

  /** Returns the identifiers of the turns, oldest first. */
  public List<String> ids() {
    return ids;
  }

  /**
   * Returns the turns, oldest first.
   *
   * @throws IllegalStateException if the conversation is closed
   */
  public List<StoredTurn> turns() {
    if (turns == null) {
      throw new IllegalStateException("the conversation of " + ids.size() + " turns is closed");
    }
    return turns;
  }

  /**
   * Returns the request body for an engine: the inputs and outputs of the turns, then the new
   * input. Its release closes the conversation.
   */
  public EngineBody continuedBy(byte[] newInput) {
    List<byte[]> parts = new ArrayList<>(2 * turns().size() + 1);
    for (StoredTurn turn : turns()) {
      parts.add(turn.input());
      parts.add(turn.output());
    }
    parts.add(newInput);
    return new EngineBody(parts, this::close);
  }

  /** Ends the use of the conversation; idempotent. */
  public void close() {
    if (turns != null) {
      turns = null;
      onClose.run();
    }
  }
}
