package org.baykeel.gateway.history;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.Consumer;
import org.baykeel.gateway.storage.Transaction;
import org.baykeel.gateway.storage.TransactionOutcome;
import org.baykeel.gateway.testing.ForwardingStore;
import org.baykeel.gateway.testing.TestingEventLoop;
import org.baykeel.gateway.testing.TestingStore;
import org.baykeel.gateway.testing.TestingStore.Fault;
import org.junit.jupiter.api.Test;

/** Guards against turns that wait for the store and use memory and time for writes that fail. */
class TestTurnWrites {
  private static final int TURN_BYTES = 100_000;
  private static final long MAX_BYTES_IN_PROGRESS = 1_100_000;
  private static final long GIVE_UP_NANOS = 9_000_000_000L;

  private final TestingEventLoop eventLoop = new TestingEventLoop();
  private final TestingStore store = new TestingStore(eventLoop);
  private final RecordingStore recording = new RecordingStore();
  private final TurnHistory history =
      new TurnHistory(recording, eventLoop, ConversationBounds.ofNode(64 << 20), TurnSource.NONE);
  private final List<Boolean> saved = new ArrayList<>();

  /** Records the bytes of the values whose writes are in progress. */
  private final class RecordingStore extends ForwardingStore {
    private long bytesInProgress;
    private long mostInProgress;

    RecordingStore() {
      super(store);
    }

    @Override
    public void transact(Transaction transaction, Consumer<TransactionOutcome> callback) {
      long bytes = transaction.puts().stream().mapToLong(put -> put.value().length).sum();
      bytesInProgress += bytes;
      mostInProgress = Math.max(mostInProgress, bytesInProgress);
      super.transact(
          transaction,
          outcome -> {
            bytesInProgress -= bytes;
            callback.accept(outcome);
          });
    }
  }

  private void save(int count, int bytes) {
    for (int i = 0; i < count; i++) {
      StoredTurn turn = new StoredTurn("t" + i, List.of(), new byte[bytes], new byte[10]);
      history.save(turn, eventLoop.nanoTime() + GIVE_UP_NANOS, saved::add);
    }
  }

  private int transactionsIn(long millis) {
    int before = store.transactions();
    eventLoop.advance(millis);
    return store.transactions() - before;
  }

  @Test
  void writesInProgressAreLimited() {
    save(30, TURN_BYTES);
    eventLoop.advance(200);
    assertEquals(Collections.nCopies(30, true), saved);
    assertTrue(
        recording.mostInProgress <= MAX_BYTES_IN_PROGRESS, recording.mostInProgress + " bytes");
  }

  @Test
  void turnLargerThanTheLimitOfWritesIsSaved() {
    save(2, 2 * (int) MAX_BYTES_IN_PROGRESS);
    eventLoop.advance(200);
    assertEquals(List.of(true, true), saved);
  }

  @Test
  void refusedWritesAreRepeatedOneAtATime() {
    store.fault(Fault.REFUSE);
    save(40, 1_000);
    eventLoop.advance(100);
    int tries = transactionsIn(1_000);
    assertTrue(tries <= 20, tries + " tries in a second");
    store.fault(Fault.NONE);
    eventLoop.advance(200);
    assertEquals(Collections.nCopies(40, true), saved);
  }

  @Test
  void newTurnsAreTriedWhileOthersAreRefused() {
    store.fault(Fault.REFUSE);
    save(40, 1_000);
    eventLoop.advance(500);
    store.fault(Fault.NONE);
    StoredTurn turn = new StoredTurn("new", List.of(), new byte[1], new byte[1]);
    history.save(turn, eventLoop.nanoTime() + GIVE_UP_NANOS, saved::add);
    eventLoop.advance(20);
    // The first success ends the restriction; one write has just failed and waits for its retry.
    assertEquals(40, saved.size());
    eventLoop.advance(60);
    assertEquals(41, saved.size());
  }

  @Test
  void failedWritesOfAStoreThatServesOthersDoNotDelayThem() {
    store.fault(Fault.REFUSE);
    save(1, 1_000);
    eventLoop.advance(20);
    store.fault(Fault.NONE);
    eventLoop.advance(60);
    assertEquals(List.of(true), saved);
  }

  @Test
  void cancelledWriteIsNotRepeated() {
    store.fault(Fault.REFUSE);
    StoredTurn turn = new StoredTurn("t", List.of(), new byte[TURN_BYTES], new byte[10]);
    TurnHistory.Task saving = history.save(turn, eventLoop.nanoTime() + GIVE_UP_NANOS, saved::add);
    eventLoop.advance(200);
    saving.cancel();
    assertEquals(0, transactionsIn(1_000));
    assertEquals(List.of(), saved);
    assertEquals(0, history.writingBytes());
  }

  @Test
  void turnIsGivenUpAfterItsTime() {
    store.fault(Fault.REFUSE);
    save(30, 1_000);
    eventLoop.advance(12_000);
    assertEquals(Collections.nCopies(30, false), saved);
    assertEquals(0, history.writingBytes());
  }
}
