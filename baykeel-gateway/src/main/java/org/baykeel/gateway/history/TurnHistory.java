package org.baykeel.gateway.history;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.baykeel.gateway.program.ProgramId;
import org.baykeel.gateway.runtime.EventLoop;
import org.baykeel.gateway.scheduling.StableHash;
import org.baykeel.gateway.storage.DurableStore;
import org.baykeel.gateway.storage.RangeRead;
import org.baykeel.gateway.storage.ReadOutcome;
import org.baykeel.gateway.storage.RowAddress;
import org.baykeel.gateway.storage.StoredRow;
import org.baykeel.gateway.storage.Transaction;
import org.baykeel.gateway.storage.TransactionOutcome;

/**
 * Saves turns in the store and finds them again.
 *
 * <p>Invariant: a turn is in the store before the end of its response is sent, so a caller that
 * refers to a turn that it received completely can continue it at any process. A turn that is not
 * in the store was never completed; a turn that could not be looked up is reported as unavailable,
 * never as unknown.
 */
public final class TurnHistory {
  private static final String TABLE = "turn";
  private static final int PARTITIONS = 512;
  private static final int MAX_VALUE_BYTES = 44_000;
  private static final long RETRY_MILLIS = 60;

  private final DurableStore store;
  private final EventLoop eventLoop;
  private final TurnCache cache;
  private final TurnSource source;

  /** The result of a search for a turn. */
  public sealed interface Lookup {
    /** The turn and all turns that it continues, oldest first. */
    record Found(List<StoredTurn> chain) implements Lookup {

      /** Returns the identifiers of the chain, oldest first. */
      public List<String> ids() {
        return chain.stream().map(StoredTurn::id).toList();
      }

      /**
       * Returns the request body for an engine: the inputs and outputs of the chain, then the new
       * input.
       */
      public byte[] continuedBy(byte[] newInput) {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        for (StoredTurn turn : chain) {
          body.writeBytes(turn.input());
          body.writeBytes(turn.output());
        }
        body.writeBytes(newInput);
        return body.toByteArray();
      }
    }

    /** The turn does not exist. */
    record Absent() implements Lookup {}

    /** The store could not be read. */
    record Unavailable() implements Lookup {}
  }

  /**
   * Creates a history.
   *
   * @param cacheBytes the bytes of inputs and outputs that are cached in memory
   * @param source requests turns from other processes
   */
  public TurnHistory(DurableStore store, EventLoop eventLoop, long cacheBytes, TurnSource source) {
    this.store = store;
    this.eventLoop = eventLoop;
    this.cache = new TurnCache(cacheBytes);
    this.source = source;
  }

  /** Returns whether a turn and all turns that it continues are in memory. */
  public boolean inMemory(String turnId) {
    StoredTurn turn = cache.get(turnId);
    return turn != null && turn.ancestors().stream().allMatch(id -> cache.get(id) != null);
  }

  /**
   * Returns those of a turn and of the turns that it continues that are in memory; each of them is
   * in the store.
   */
  public List<StoredTurn> turnsInMemory(String turnId) {
    StoredTurn last = cache.get(turnId);
    if (last == null) {
      return List.of();
    }
    return last.chain().stream().map(cache::get).filter(Objects::nonNull).toList();
  }

  /**
   * Finds a turn and all turns that it continues.
   *
   * @param program the program that continues the turn
   * @param giveUpNanos the time after which a turn that cannot be read is unavailable
   */
  public void find(ProgramId program, String turnId, long giveUpNanos, Consumer<Lookup> answer) {
    if (inMemory(turnId)) {
      findInStore(turnId, giveUpNanos, answer);
      return;
    }
    source.request(
        program,
        turnId,
        turns -> {
          turns.forEach(cache::put);
          findInStore(turnId, giveUpNanos, answer);
        });
  }

  /** Finds a turn in memory, and the missing turns of its chain in the store. */
  private void findInStore(String turnId, long giveUpNanos, Consumer<Lookup> answer) {
    fetch(turnId, giveUpNanos, last -> onLast(last, giveUpNanos, answer));
  }

  /**
   * Saves a turn in the store.
   *
   * @param giveUpNanos the time after which a failed write is not repeated
   * @param answer receives true once the store has the turn; false if that is not certain
   */
  public void save(StoredTurn turn, long giveUpNanos, Consumer<Boolean> answer) {
    store.transact(insertTransaction(turn), outcome -> onSaved(turn, giveUpNanos, outcome, answer));
  }

  private Transaction insertTransaction(StoredTurn turn) {
    List<byte[]> values = StoredTurnCodec.encode(turn, MAX_VALUE_BYTES);
    List<Transaction.Put> puts = new ArrayList<>(values.size());
    for (int i = 0; i < values.size(); i++) {
      puts.add(new Transaction.Put(address(turn.id(), i), values.get(i)));
    }
    Transaction.Expectation absent =
        new Transaction.Expectation(address(turn.id(), 0), Transaction.ABSENT);
    return new Transaction(List.of(absent), puts, List.of());
  }

  private void onSaved(
      StoredTurn turn, long giveUpNanos, TransactionOutcome outcome, Consumer<Boolean> answer) {
    // A conflict means that an earlier copy of the same write was applied: identifiers are unique.
    if (outcome instanceof TransactionOutcome.Applied
        || outcome instanceof TransactionOutcome.Conflict) {
      cache.put(turn);
      answer.accept(true);
    } else if (eventLoop.nanoTime() - giveUpNanos >= 0) {
      answer.accept(false);
    } else {
      eventLoop.schedule(RETRY_MILLIS, () -> save(turn, giveUpNanos, answer));
    }
  }

  private void onLast(Fetched last, long giveUpNanos, Consumer<Lookup> answer) {
    if (last.turn() == null) {
      answer.accept(last.absent() ? new Lookup.Absent() : new Lookup.Unavailable());
      return;
    }
    List<String> missing = new ArrayList<>();
    for (String ancestor : last.turn().ancestors()) {
      if (cache.get(ancestor) == null) {
        missing.add(ancestor);
      }
    }
    if (missing.isEmpty()) {
      answer.accept(chainOf(last.turn(), Map.of()));
    } else {
      fetchAll(last.turn(), missing, giveUpNanos, answer);
    }
  }

  private void fetchAll(
      StoredTurn last, List<String> missing, long giveUpNanos, Consumer<Lookup> answer) {
    Map<String, StoredTurn> fetched = new HashMap<>();
    int[] outstanding = {missing.size()};
    for (String ancestor : missing) {
      fetch(
          ancestor,
          giveUpNanos,
          result -> {
            if (result.turn() != null) {
              fetched.put(ancestor, result.turn());
            }
            outstanding[0]--;
            if (outstanding[0] == 0) {
              answer.accept(chainOf(last, fetched));
            }
          });
    }
  }

  private Lookup chainOf(StoredTurn last, Map<String, StoredTurn> fetched) {
    List<StoredTurn> chain = new ArrayList<>();
    for (String ancestor : last.ancestors()) {
      StoredTurn turn = fetched.containsKey(ancestor) ? fetched.get(ancestor) : cache.get(ancestor);
      if (turn == null) {
        return new Lookup.Unavailable();
      }
      chain.add(turn);
    }
    chain.add(last);
    return new Lookup.Found(chain);
  }

  /** A turn, or the reason why there is none. */
  private record Fetched(StoredTurn turn, boolean absent) {}

  private void fetch(String id, long giveUpNanos, Consumer<Fetched> answer) {
    StoredTurn cached = cache.get(id);
    if (cached != null) {
      answer.accept(new Fetched(cached, false));
      return;
    }
    RangeRead read = new RangeRead(TABLE, partition(id), key(id, 0), 1);
    store.read(read, outcome -> onFirstPiece(id, giveUpNanos, outcome, answer));
  }

  private void onFirstPiece(
      String id, long giveUpNanos, ReadOutcome outcome, Consumer<Fetched> answer) {
    if (!(outcome instanceof ReadOutcome.Rows rows)) {
      retryFetch(id, giveUpNanos, answer);
      return;
    }
    if (rows.rows().isEmpty() || !rows.rows().get(0).address().key().equals(key(id, 0))) {
      confirmAbsent(id, giveUpNanos, answer);
      return;
    }
    int pieces = decoded(() -> StoredTurnCodec.pieceCount(rows.rows().get(0).value()), answer);
    if (pieces == 1) {
      StoredTurn turn = decoded(() -> cacheTurn(id, rows.rows()), answer);
      answer.accept(new Fetched(turn, false));
      return;
    }
    RangeRead read = new RangeRead(TABLE, partition(id), key(id, 0), pieces);
    store.read(read, whole -> onAllPieces(id, giveUpNanos, pieces, whole, answer));
  }

  /**
   * Confirms that a turn does not exist. A read may return an old state, while a condition is
   * always checked against the newest state.
   */
  private void confirmAbsent(String id, long giveUpNanos, Consumer<Fetched> answer) {
    Transaction.Expectation absent =
        new Transaction.Expectation(address(id, 0), Transaction.ABSENT);
    store.transact(
        new Transaction(List.of(absent), List.of(), List.of()),
        outcome -> {
          if (outcome instanceof TransactionOutcome.Applied) {
            answer.accept(new Fetched(null, true));
          } else {
            retryFetch(id, giveUpNanos, answer);
          }
        });
  }

  private void onAllPieces(
      String id, long giveUpNanos, int pieces, ReadOutcome outcome, Consumer<Fetched> answer) {
    if (outcome instanceof ReadOutcome.Rows rows && rows.rows().size() == pieces) {
      StoredTurn turn = decoded(() -> cacheTurn(id, rows.rows()), answer);
      answer.accept(new Fetched(turn, false));
    } else {
      retryFetch(id, giveUpNanos, answer);
    }
  }

  private void retryFetch(String id, long giveUpNanos, Consumer<Fetched> answer) {
    if (eventLoop.nanoTime() - giveUpNanos >= 0) {
      answer.accept(new Fetched(null, false));
    } else {
      eventLoop.schedule(RETRY_MILLIS, () -> fetch(id, giveUpNanos, answer));
    }
  }

  /** Decodes a stored turn; if that fails, the answer is that it is not available. */
  private static <T> T decoded(Supplier<T> decoding, Consumer<Fetched> answer) {
    try {
      return decoding.get();
    } catch (RuntimeException e) {
      answer.accept(new Fetched(null, false));
      throw e;
    }
  }

  private StoredTurn cacheTurn(String id, List<StoredRow> rows) {
    StoredTurn turn = StoredTurnCodec.decode(id, rows.stream().map(StoredRow::value).toList());
    cache.put(turn);
    return turn;
  }

  private static RowAddress address(String id, int piece) {
    return new RowAddress(TABLE, partition(id), key(id, piece));
  }

  private static String key(String id, int piece) {
    return id + '.' + (char) ('a' + piece);
  }

  private static String partition(String id) {
    return "h" + Math.floorMod(StableHash.of(id), PARTITIONS);
  }
}
