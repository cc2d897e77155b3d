package org.baykeel.gateway.history;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.baykeel.gateway.runtime.EventLoop;
import org.baykeel.gateway.storage.DurableStore;
import org.baykeel.gateway.storage.ReadOutcome;
import org.baykeel.gateway.storage.StoredRow;
import org.baykeel.gateway.storage.TransactionOutcome;

/**
 * Reads turns from the store. What several calls wait for is read once, and the bytes that are read
 * at the same time are limited, since a response of the store costs several times its turn.
 */
final class TurnReader {
  /** The most bytes of turns that are read at the same time, unless a single turn has more. */
  static final long MAX_BYTES_IN_PROGRESS = 2 << 20;

  private static final long RETRY_MILLIS = 60;

  private final DurableStore store;
  private final EventLoop eventLoop;
  private final Map<Key, PendingRead> pending = new HashMap<>();
  private final Deque<PendingRead> queue = new ArrayDeque<>();
  private long bytesInProgress;
  private boolean starting;

  /** What was read of a turn. */
  sealed interface Result {
    /** The turn. */
    record Whole(StoredTurn turn) implements Result {}

    /** The turn has more rows than were read. */
    record Part(int rows) implements Result {}

    /** The turn does not exist. */
    record Absent() implements Result {}

    /** The turn could not be read. */
    record Unavailable() implements Result {}
  }

  /**
   * Identifies a read. Its methods are implemented by hand because the generated ones of a record
   * are linked at run time, which delays the first reads of a process.
   */
  private record Key(String id, int rows) {
    long bytes() {
      return (long) rows * TurnRows.MAX_VALUE_BYTES;
    }

    @Override
    public boolean equals(Object other) {
      return other instanceof Key key && rows == key.rows && id.equals(key.id);
    }

    @Override
    public int hashCode() {
      return 31 * id.hashCode() + rows;
    }
  }

  /** Someone who waits for the result of a read. */
  private record Waiter(long giveUpNanos, Consumer<Result> callback) {}

  /** A read that has no result yet. */
  private static final class PendingRead {
    private final Key key;
    private final List<Waiter> waiters = new ArrayList<>();

    PendingRead(Key key) {
      this.key = key;
    }
  }

  TurnReader(DurableStore store, EventLoop eventLoop) {
    this.store = store;
    this.eventLoop = eventLoop;
  }

  /** Reads the first row of a turn, which is the whole turn if it is short. */
  void readFirstRow(String id, long giveUpNanos, Consumer<Result> callback) {
    read(new Key(id, 1), new Waiter(giveUpNanos, callback));
  }

  /**
   * Reads a turn whose number of rows is known.
   *
   * @param giveUpNanos the time after which a failed read is not repeated
   */
  void readWhole(String id, int rows, long giveUpNanos, Consumer<Result> callback) {
    read(new Key(id, rows), new Waiter(giveUpNanos, callback));
  }

  private void read(Key key, Waiter waiter) {
    PendingRead read = pending.get(key);
    if (read != null) {
      read.waiters.add(waiter);
      return;
    }
    read = new PendingRead(key);
    read.waiters.add(waiter);
    pending.put(key, read);
    queue.addLast(read);
    startNext();
  }

  /** A read that ends at once does not start the next one by itself. */
  private void startNext() {
    if (!starting) {
      starting = true;
      try {
        startAllowed();
      } finally {
        starting = false;
      }
    }
  }

  private void startAllowed() {
    while (!queue.isEmpty()
        && (bytesInProgress == 0
            || bytesInProgress + queue.peekFirst().key.bytes() <= MAX_BYTES_IN_PROGRESS)) {
      PendingRead next = queue.removeFirst();
      bytesInProgress += next.key.bytes();
      store.read(
          TurnRows.read(next.key.id(), next.key.rows()), outcome -> onResponse(next, outcome));
    }
  }

  private void onResponse(PendingRead read, ReadOutcome outcome) {
    bytesInProgress -= read.key.bytes();
    try {
      onOutcome(read, outcome);
    } finally {
      startNext();
    }
  }

  private void onOutcome(PendingRead read, ReadOutcome outcome) {
    if (!(outcome instanceof ReadOutcome.Rows rows)) {
      retry(read);
    } else if (!TurnRows.beginTurn(read.key.id(), rows.rows())) {
      confirmAbsent(read);
    } else {
      decode(read, rows.rows());
    }
  }

  private void decode(PendingRead read, List<StoredRow> rows) {
    Result result;
    try {
      int total = StoredTurnCodec.pieceCount(rows.get(0).value());
      if (rows.size() < Math.min(total, read.key.rows())) {
        retry(read);
        return;
      }
      result =
          total > read.key.rows()
              ? new Result.Part(total)
              : new Result.Whole(turn(read.key.id(), rows.subList(0, total)));
    } catch (RuntimeException e) {
      complete(read, new Result.Unavailable());
      throw e;
    }
    complete(read, result);
  }

  private static StoredTurn turn(String id, List<StoredRow> rows) {
    return StoredTurnCodec.decode(id, rows.stream().map(StoredRow::value).toList());
  }

  private void confirmAbsent(PendingRead read) {
    store.transact(
        TurnRows.confirmationOfAbsence(read.key.id()),
        outcome -> {
          if (outcome instanceof TransactionOutcome.Applied) {
            complete(read, new Result.Absent());
          } else {
            retry(read);
          }
        });
  }

  private void retry(PendingRead read) {
    long now = eventLoop.nanoTime();
    List<Waiter> expired =
        read.waiters.stream().filter(waiter -> now - waiter.giveUpNanos() >= 0).toList();
    read.waiters.removeAll(expired);
    if (read.waiters.isEmpty()) {
      pending.remove(read.key);
    } else {
      eventLoop.schedule(RETRY_MILLIS, () -> retryNow(read));
    }
    expired.forEach(waiter -> waiter.callback().accept(new Result.Unavailable()));
  }

  private void retryNow(PendingRead read) {
    queue.addLast(read);
    startNext();
  }

  private void complete(PendingRead read, Result result) {
    pending.remove(read.key);
    List.copyOf(read.waiters).forEach(waiter -> waiter.callback().accept(result));
  }

  /** Returns the bytes of turns that are being read, by their rows. */
  long bytesInProgress() {
    return bytesInProgress;
  }
}
