package org.baykeel.gateway.history;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import org.baykeel.gateway.runtime.EventLoop;
import org.baykeel.gateway.storage.DurableStore;
import org.baykeel.gateway.storage.TransactionOutcome;

/**
 * Writes turns to the store, in order of arrival. A turn is encoded only while its write is in
 * progress, and the bytes of these writes are limited. While the store refuses writes, they are
 * repeated one at a time, since each try encodes its turn anew.
 */
final class TurnWriter {
  /** The most bytes of turns that are written at the same time, unless a single turn has more. */
  static final long MAX_BYTES_IN_PROGRESS = 1 << 20;

  private static final long RETRY_MILLIS = 60;

  /** So many failed writes in a row mean that the store refuses writes. */
  private static final int FAILURES_OF_REFUSING_STORE = 3;

  private final DurableStore store;
  private final EventLoop eventLoop;
  private final Deque<Write> first = new ArrayDeque<>();
  private final Deque<Write> repeated = new ArrayDeque<>();
  private long bytesInProgress;
  private int failuresInRow;

  /** While the store refuses writes, whether a repeated one is in progress or has just failed. */
  private boolean repeating;

  private boolean starting;

  /** A turn that waits for its write, or is being written. */
  final class Write {
    private final long giveUpNanos;
    private final Consumer<Boolean> callback;
    private StoredTurn turn;

    private Write(StoredTurn turn, long giveUpNanos, Consumer<Boolean> callback) {
      this.turn = turn;
      this.giveUpNanos = giveUpNanos;
      this.callback = callback;
    }

    /**
     * Gives the write up, since its call has ended. One that is in progress may still be applied.
     */
    void cancel() {
      first.remove(this);
      repeated.remove(this);
      turn = null;
    }

    private void end(boolean written) {
      if (turn != null) {
        turn = null;
        callback.accept(written);
      }
    }
  }

  TurnWriter(DurableStore store, EventLoop eventLoop) {
    this.store = store;
    this.eventLoop = eventLoop;
  }

  /**
   * Writes a turn.
   *
   * @param giveUpNanos the time after which a failed write is not repeated
   * @param callback receives true once the store has the turn; false if that is not certain
   */
  Write write(StoredTurn turn, long giveUpNanos, Consumer<Boolean> callback) {
    Write write = new Write(turn, giveUpNanos, callback);
    first.addLast(write);
    startNext();
    return write;
  }

  /** A write that fails at once does not start the next one by itself. */
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
    while (!first.isEmpty() && hasRoomFor(first.peekFirst())) {
      start(first.removeFirst(), false);
    }
    while (!repeated.isEmpty()
        && hasRoomFor(repeated.peekFirst())
        && !(isStoreRefusing() && repeating)) {
      repeating = true;
      start(repeated.removeFirst(), true);
    }
  }

  private boolean hasRoomFor(Write next) {
    return bytesInProgress == 0 || bytesInProgress + next.turn.bytes() <= MAX_BYTES_IN_PROGRESS;
  }

  private boolean isStoreRefusing() {
    return failuresInRow >= FAILURES_OF_REFUSING_STORE;
  }

  private void start(Write write, boolean again) {
    long bytes = write.turn.bytes();
    bytesInProgress += bytes;
    store.transact(
        TurnRows.insertion(write.turn),
        outcome -> {
          bytesInProgress -= bytes;
          onOutcome(write, outcome, again);
          startNext();
        });
  }

  private void onOutcome(Write write, TransactionOutcome outcome, boolean again) {
    // A conflict means that an earlier copy of the same write was applied: identifiers are unique.
    if (outcome instanceof TransactionOutcome.Applied
        || outcome instanceof TransactionOutcome.Conflict) {
      failuresInRow = 0;
      repeating = false;
      write.end(true);
      return;
    }
    failuresInRow++;
    if (again) {
      eventLoop.schedule(RETRY_MILLIS, this::repeatNext);
    }
    if (eventLoop.nanoTime() - write.giveUpNanos >= 0) {
      write.end(false);
    } else {
      eventLoop.schedule(RETRY_MILLIS, () -> repeat(write));
    }
  }

  private void repeat(Write write) {
    if (write.turn != null) {
      repeated.addLast(write);
      startNext();
    }
  }

  private void repeatNext() {
    repeating = false;
    startNext();
  }

  /** Returns the bytes of turns whose writes are in progress. */
  long bytesInProgress() {
    return bytesInProgress;
  }
}
