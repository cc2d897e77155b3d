package org.baykeel.gateway.history;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;
import org.baykeel.gateway.program.ProgramId;
import org.baykeel.gateway.runtime.EventLoop;
import org.baykeel.gateway.storage.DurableStore;

/**
 * Saves turns in the store and finds them again.
 *
 * <p>Invariants: a turn is in the store before the end of its response is sent, so a caller that
 * refers to a turn that it received completely can continue it at any process. A turn that is not
 * in the store was never completed; a turn that could not be looked up is reported as unavailable,
 * never as unknown. The turns in memory, with the room for those being read, are within the bounds.
 */
public final class TurnHistory {
  /** The most bytes of turns that are sent to another process at once. */
  private static final long MAX_TRANSFER_BYTES = 1 << 20;

  private final TurnMemory memory;
  private final TurnReader reader;
  private final TurnWriter writer;
  private final ConversationQueue queue;
  private final TurnSource source;

  /** Those who wait for turns that are requested from another process. */
  private final Map<String, List<Runnable>> requested = new HashMap<>();

  /** The result of a search for a turn. */
  public sealed interface Lookup {
    /** The turn and all turns that it continues; the conversation must be closed. */
    record Found(Conversation conversation) implements Lookup {}

    /** The turn does not exist. */
    record Absent() implements Lookup {}

    /** The store could not be read. */
    record Unavailable() implements Lookup {}

    /**
     * The memory for conversations is in use.
     *
     * @param bytes the length of the conversation
     * @param turnovers how often all held conversations must end until those that wait are served
     */
    record NoRoom(long bytes, long turnovers) implements Lookup {}

    /** The turns are longer than the limit of a conversation. */
    record TooLong(long bytes) implements Lookup {}
  }

  /** A search for a turn, or the saving of one, on behalf of a call. */
  @FunctionalInterface
  public interface Task {
    /** A task that has ended. */
    Task NONE = () -> {};

    /** Ends the task, since the call has ended; the callback is not called any more. */
    void cancel();
  }

  /**
   * Creates a history.
   *
   * @param bounds limits the memory for turns
   * @param source requests turns from other processes
   */
  public TurnHistory(
      DurableStore store, EventLoop eventLoop, ConversationBounds bounds, TurnSource source) {
    this.memory = new TurnMemory(bounds);
    this.reader = new TurnReader(store, eventLoop);
    this.writer = new TurnWriter(store, eventLoop);
    this.queue = new ConversationQueue(memory, bounds, eventLoop);
    this.source = source;
  }

  /** Returns whether a turn and all turns that it continues are in memory. */
  public boolean inMemory(String turnId) {
    StoredTurn turn = memory.get(turnId);
    return turn != null && turn.ancestors().stream().allMatch(id -> memory.get(id) != null);
  }

  /**
   * Returns those of a turn and of the turns that it continues that are in memory, oldest first;
   * each of them is in the store. Beyond a limit of bytes, the oldest ones are left out.
   */
  public List<StoredTurn> turnsInMemory(String turnId) {
    StoredTurn last = memory.get(turnId);
    if (last == null) {
      return List.of();
    }
    List<StoredTurn> present =
        last.chain().stream().map(memory::get).filter(Objects::nonNull).toList();
    long bytes = 0;
    int from = present.size();
    while (from > 0 && bytes + present.get(from - 1).bytes() <= MAX_TRANSFER_BYTES) {
      from--;
      bytes += present.get(from).bytes();
    }
    return present.subList(from, present.size());
  }

  /**
   * Finds a turn and all turns that it continues, and holds them in memory.
   *
   * @param program the program that continues the turn
   */
  public Task find(
      ProgramId program, String turnId, SearchLimits limits, Consumer<Lookup> callback) {
    ChainLookup lookup = new ChainLookup(memory, reader, queue, turnId, limits, callback);
    if (inMemory(turnId)) {
      lookup.start();
    } else {
      request(program, turnId, lookup::start);
    }
    return lookup::cancel;
  }

  /** Requests turns from another process, once for all who wait for them. */
  private void request(ProgramId program, String turnId, Runnable onResponse) {
    List<Runnable> waiting = requested.get(turnId);
    if (waiting != null) {
      waiting.add(onResponse);
      return;
    }
    requested.put(turnId, new ArrayList<>(List.of(onResponse)));
    source.request(
        program,
        turnId,
        turns -> {
          turns.forEach(memory::put);
          requested.remove(turnId).forEach(Runnable::run);
        });
  }

  /**
   * Saves a turn in the store.
   *
   * @param giveUpNanos the time after which a failed write is not repeated
   * @param callback receives true once the store has the turn; false if that is not certain
   */
  public Task save(StoredTurn turn, long giveUpNanos, Consumer<Boolean> callback) {
    TurnWriter.Write write =
        writer.write(
            turn,
            giveUpNanos,
            written -> {
              if (written) {
                memory.put(turn);
              }
              callback.accept(written);
            });
    return write::cancel;
  }

  /** Returns the bytes of the turns that calls continue, and of the room for those being read. */
  public long heldBytes() {
    return memory.heldBytes();
  }

  /** Returns the bytes of all turns in memory, and of the room for those being read. */
  public long totalBytes() {
    return memory.totalBytes();
  }

  /** Returns the bytes of turns whose reads from the store are in progress. */
  public long readingBytes() {
    return reader.bytesInProgress();
  }

  /** Returns the bytes of turns whose writes to the store are in progress. */
  public long writingBytes() {
    return writer.bytesInProgress();
  }

  /** Returns the number of conversations that wait for memory. */
  public long waitingConversations() {
    return queue.waiting();
  }
}
