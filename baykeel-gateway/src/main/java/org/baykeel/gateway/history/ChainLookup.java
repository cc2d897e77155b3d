package org.baykeel.gateway.history;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.baykeel.gateway.history.ConversationQueue.Decision;
import org.baykeel.gateway.history.ConversationQueue.Holding;
import org.baykeel.gateway.history.TurnHistory.Lookup;

/**
 * One search for a turn and all turns that it continues. First it finds out the length of the
 * chain, for which the first row of each turn suffices; it reads the rest only once the memory for
 * the whole chain is held.
 */
final class ChainLookup {
  private final TurnMemory memory;
  private final TurnReader reader;
  private final ConversationQueue queue;
  private final String turnId;
  private final SearchLimits limits;
  private final Consumer<Lookup> callback;

  /** The rows of the turns that are not in memory; those of one row are not in here. */
  private final Map<String, Integer> rows = new HashMap<>();

  private List<TurnSize> sizes = List.of();
  private ConversationQueue.Ticket ticket = ConversationQueue.Ticket.NONE;
  private Holding holding;
  private int outstanding;
  private boolean failed;
  private boolean cancelled;

  /** Creates a search. */
  ChainLookup(
      TurnMemory memory,
      TurnReader reader,
      ConversationQueue queue,
      String turnId,
      SearchLimits limits,
      Consumer<Lookup> callback) {
    this.memory = memory;
    this.reader = reader;
    this.queue = queue;
    this.turnId = turnId;
    this.limits = limits;
    this.callback = callback;
  }

  void start() {
    if (cancelled) {
      return;
    }
    StoredTurn last = memory.get(turnId);
    if (last != null) {
      onLast(last);
    } else {
      reader.readFirstRow(turnId, limits.readUntilNanos(), this::onLastRead);
    }
  }

  /** Ends the search, unless it has a result; the callback is not called any more. */
  void cancel() {
    cancelled = true;
    ticket.leave();
  }

  private void onLastRead(TurnReader.Result result) {
    if (result instanceof TurnReader.Result.Part part) {
      reader.readWhole(turnId, part.rows(), limits.readUntilNanos(), this::onLastRead);
    } else if (result instanceof TurnReader.Result.Whole whole) {
      memory.put(whole.turn());
      onLast(whole.turn());
    } else {
      boolean absent = result instanceof TurnReader.Result.Absent;
      answer(absent ? new Lookup.Absent() : new Lookup.Unavailable());
    }
  }

  // The length of the chain.

  private void onLast(StoredTurn last) {
    List<String> ancestors = last.ancestors();
    TurnSize[] found = new TurnSize[ancestors.size() + 1];
    found[ancestors.size()] = TurnSize.of(last);
    outstanding = 1;
    for (int i = 0; i < ancestors.size(); i++) {
      int index = i;
      outstanding++;
      findSize(ancestors.get(i), size -> onSize(found, index, size));
    }
    onSize(found, ancestors.size(), found[ancestors.size()]);
  }

  private void findSize(String id, Consumer<TurnSize> onFound) {
    StoredTurn turn = memory.get(id);
    if (turn != null) {
      onFound.accept(TurnSize.of(turn));
      return;
    }
    reader.readFirstRow(id, limits.readUntilNanos(), result -> onFound.accept(sizeOf(id, result)));
  }

  /** Returns the size of a turn of which the first row was read, or null if it was not. */
  private TurnSize sizeOf(String id, TurnReader.Result result) {
    if (result instanceof TurnReader.Result.Whole whole) {
      memory.put(whole.turn());
      return TurnSize.of(whole.turn());
    }
    if (result instanceof TurnReader.Result.Part part) {
      rows.put(id, part.rows());
      return new TurnSize(id, (long) part.rows() * TurnRows.MAX_VALUE_BYTES);
    }
    return null;
  }

  private void onSize(TurnSize[] found, int index, TurnSize size) {
    found[index] = size;
    failed |= size == null;
    outstanding--;
    if (outstanding > 0) {
      return;
    }
    if (failed) {
      answer(new Lookup.Unavailable());
      return;
    }
    sizes = List.of(found);
    if (!cancelled) {
      ticket = queue.hold(sizes, limits.waitUntilNanos(), this::onDecision);
    }
  }

  // The memory for the chain, and its turns.

  private void onDecision(Decision decision, Holding held) {
    long bytes = sizes.stream().mapToLong(TurnSize::bytes).sum();
    switch (decision) {
      case HELD -> {
        holding = held;
        load();
      }
      case NO_ROOM -> answer(new Lookup.NoRoom(bytes, queue.turnovers()));
      case TOO_LONG -> answer(new Lookup.TooLong(bytes));
    }
  }

  private void load() {
    List<String> missing = new ArrayList<>();
    sizes.stream().map(TurnSize::id).filter(id -> memory.get(id) == null).forEach(missing::add);
    outstanding = missing.size();
    if (missing.isEmpty()) {
      finish();
    }
    missing.forEach(this::loadTurn);
  }

  private void loadTurn(String id) {
    Integer known = rows.get(id);
    if (known == null) {
      reader.readFirstRow(id, limits.readUntilNanos(), result -> onLoaded(id, result));
    } else {
      reader.readWhole(id, known, limits.readUntilNanos(), result -> onLoaded(id, result));
    }
  }

  private void onLoaded(String id, TurnReader.Result result) {
    if (result instanceof TurnReader.Result.Part part) {
      reader.readWhole(id, part.rows(), limits.readUntilNanos(), whole -> onLoaded(id, whole));
      return;
    }
    if (result instanceof TurnReader.Result.Whole whole) {
      memory.put(whole.turn());
    } else {
      failed = true;
    }
    outstanding--;
    if (outstanding == 0) {
      finish();
    }
  }

  private void answer(Lookup result) {
    if (!cancelled) {
      callback.accept(result);
    }
  }

  private void finish() {
    if (cancelled) {
      holding.end();
      return;
    }
    if (failed) {
      holding.end();
      answer(new Lookup.Unavailable());
      return;
    }
    List<StoredTurn> turns = sizes.stream().map(size -> memory.get(size.id())).toList();
    answer(new Lookup.Found(new Conversation(turns, holding::end)));
    // The turns are shorter than their rows, by which the room was counted.
    queue.admitWaiting();
  }
}
