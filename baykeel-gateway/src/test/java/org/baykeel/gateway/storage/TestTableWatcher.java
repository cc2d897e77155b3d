package org.baykeel.gateway.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.Consumer;
import org.baykeel.gateway.telemetry.GatewayEvent;
import org.baykeel.gateway.testing.TestingEventLoop;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

class TestTableWatcher {
  private final TestingEventLoop eventLoop = new TestingEventLoop();
  private final ScriptedStore store = new ScriptedStore();
  private final List<String> delivered = new ArrayList<>();
  private final List<Long> caughtUp = new ArrayList<>();
  private final List<GatewayEvent> logged = new ArrayList<>();
  private int failures;
  private boolean failWithError;
  private final TableWatcher watcher = watcher(0);

  private TableWatcher watcher(long pauseMillis) {
    return watcher(pauseMillis, TableWatcher.Recovery.RESUME);
  }

  private TableWatcher watcher(long pauseMillis, TableWatcher.Recovery recovery) {
    return new TableWatcher(
        "t",
        store,
        2_000,
        pauseMillis,
        recovery,
        (task, millis) -> eventLoop.schedule(millis, task),
        new TableWatcher.Listener() {
          @Override
          public void onSnapshot(List<StoredRow> rows) {
            failIfRequested();
            delivered.add("snapshot " + keys(rows));
          }

          @Override
          public void onChanges(List<StoredRow> rows) {
            failIfRequested();
            delivered.add("changes " + keys(rows));
          }

          @Override
          public void onCaughtUp(long nanos) {
            failIfRequested();
            caughtUp.add(nanos);
          }
        },
        (event, fields) -> logged.add(event));
  }

  private void failIfRequested() {
    if (failures > 0) {
      failures--;
      if (failWithError) {
        throw new StackOverflowError();
      }
      throw new IllegalStateException("listener fails");
    }
  }

  private static List<String> keys(List<StoredRow> rows) {
    return rows.stream().map(row -> row.address().key()).toList();
  }

  private static ReadOutcome rows(long version, boolean more, String... keys) {
    List<StoredRow> rows = new ArrayList<>();
    for (String key : keys) {
      rows.add(new StoredRow(new RowAddress("t", "", key), new byte[0], version));
    }
    return new ReadOutcome.Rows(rows, more, version, version);
  }

  /** Replies in the order of the script and records the requests. */
  private static final class ScriptedStore implements DurableStore {
    private final ArrayDeque<ReadOutcome> outcomes = new ArrayDeque<>();
    private final List<String> requests = new ArrayList<>();
    private final List<Integer> waits = new ArrayList<>();
    private Consumer<ReadOutcome> pending;

    @Override
    public void transact(Transaction transaction, Consumer<TransactionOutcome> callback) {
      throw new UnsupportedOperationException();
    }

    @Override
    public void read(RangeRead read, Consumer<ReadOutcome> callback) {
      requests.add("read " + read.fromKey());
      reply(callback);
    }

    @Override
    public void watch(
        String table, long afterVersion, int waitMillis, Consumer<ReadOutcome> callback) {
      requests.add("watch " + afterVersion);
      waits.add(waitMillis);
      reply(callback);
    }

    private void reply(Consumer<ReadOutcome> callback) {
      if (!outcomes.isEmpty()) {
        callback.accept(outcomes.poll());
      } else {
        pending = callback;
      }
    }

    /** Replies to the last request that had no reply. */
    private void answerPending() {
      pending.accept(outcomes.poll());
    }
  }

  @Test
  void readsAllPagesAndFollowsFeedFromFirstPage() {
    store.outcomes.add(rows(5, true, "a", "b"));
    store.outcomes.add(rows(9, false, "c"));
    store.outcomes.add(rows(11, false, "d"));
    watcher.start();
    assertEquals(List.of("snapshot [a, b, c]", "changes [d]"), delivered);
    assertEquals(List.of("read null", "read b\0", "watch 5", "watch 11"), store.requests);
  }

  /**
   * A store that has just recovered may serve reads from an old state; only the feed then delivers
   * the later changes.
   */
  @Test
  void onlyFeedReportsCaughtUp() {
    store.outcomes.add(rows(5, false, "a"));
    watcher.start();
    assertEquals(List.of(), caughtUp);
    store.outcomes.add(rows(6, true, "b"));
    watcher.poll();
    assertEquals(List.of(), caughtUp);
    store.outcomes.add(rows(7, false));
    watcher.poll();
    assertEquals(List.of(7L), caughtUp);
    assertEquals(List.of("snapshot [a]", "changes [b]"), delivered);
  }

  /** Guards against an older response that arrives late and takes back a later change. */
  @Test
  void changesThatWereDeliveredBeforeAreNotDeliveredAgain() {
    store.outcomes.add(rows(5, false, "a"));
    watcher.start();
    store.outcomes.add(rows(8, false, "b"));
    watcher.poll();
    store.outcomes.add(rows(7, false, "b"));
    watcher.poll();
    store.outcomes.add(rows(8, false, "b"));
    watcher.poll();
    assertEquals(List.of("snapshot [a]", "changes [b]"), delivered);
  }

  @Test
  void atMostOnePollIsPending() {
    store.outcomes.add(rows(5, false, "a"));
    watcher.poll();
    watcher.start();
    watcher.poll();
    watcher.poll();
    assertEquals(List.of("read null", "watch 5", "watch 5"), store.requests);
    assertEquals(List.of(2_000, 1), store.waits);
  }

  /**
   * Guards against a failure of the simulation with seed 8835: a feed returned no changes just
   * after it had recovered.
   */
  @Test
  void notCaughtUpAfterFailureUntilTableIsReadAgain() {
    TableWatcher rereading = watcher(0, TableWatcher.Recovery.REREAD);
    store.outcomes.add(rows(5, false, "a"));
    store.outcomes.add(new ReadOutcome.Failed("down"));
    rereading.start();
    rereading.poll();
    assertEquals(List.of("read null", "watch 5"), store.requests);
    store.outcomes.add(rows(8, false, "b"));
    store.outcomes.add(rows(8, false));
    eventLoop.advance(60);
    assertEquals(List.of("snapshot [a]", "snapshot [b]"), delivered);
    assertEquals(List.of(8L), caughtUp);
  }

  @Test
  void requestsImmediateResponseAfterFailure() {
    store.outcomes.add(rows(5, false, "a"));
    store.outcomes.add(new ReadOutcome.Failed("down"));
    store.outcomes.add(rows(5, false));
    watcher.start();
    eventLoop.advance(100);
    assertEquals(List.of(2_000, 1, 2_000), store.waits);
  }

  @Test
  void readsTableAgainWhenHistoryIsGone() {
    store.outcomes.add(rows(5, false, "a"));
    store.outcomes.add(new ReadOutcome.HistoryGone());
    store.outcomes.add(rows(20, false, "b"));
    watcher.start();
    assertEquals(List.of("snapshot [a]", "snapshot [b]"), delivered);
    assertEquals("watch 20", store.requests.get(3));
  }

  @Test
  void discardsPageOfOlderState() {
    store.outcomes.add(rows(30, false, "a"));
    store.outcomes.add(new ReadOutcome.HistoryGone());
    store.outcomes.add(rows(10, false, "old"));
    store.outcomes.add(rows(31, false, "new"));
    watcher.start();
    eventLoop.advance(200);
    assertEquals(List.of("snapshot [a]", "snapshot [new]"), delivered);
  }

  @Test
  void retriesAfterFailure() {
    store.outcomes.add(new ReadOutcome.Failed("down"));
    store.outcomes.add(rows(5, false, "a"));
    store.outcomes.add(new ReadOutcome.Failed("down"));
    store.outcomes.add(rows(6, false, "b"));
    watcher.start();
    eventLoop.advance(1_000);
    assertEquals(List.of("snapshot [a]", "changes [b]"), delivered);
  }

  /** Guards against an error of the listener that ends the watch before the first snapshot. */
  @ParameterizedTest(name = "error: {0}")
  @CsvSource({"false", "true"})
  void snapshotThatListenerFailedToAdoptIsReadAgain(boolean error) {
    failWithError = error;
    failures = 2;
    store.outcomes.add(rows(5, false, "a"));
    store.outcomes.add(rows(5, false, "a"));
    store.outcomes.add(rows(6, false, "a", "b"));
    watcher.start();
    watcher.poll();
    assertEquals(List.of("read null"), store.requests);
    eventLoop.advance(1_000);
    assertEquals(List.of("snapshot [a, b]"), delivered);
    assertEquals(List.of("read null", "read null", "read null", "watch 6"), store.requests);
    assertEquals(Collections.nCopies(2, GatewayEvent.STORE_LISTENER_FAILED), logged);
  }

  /** Guards against an error of the listener that ends the watch of the changes. */
  @ParameterizedTest
  @EnumSource(TableWatcher.Recovery.class)
  void changesThatListenerFailedToAdoptAreRequestedAgain(TableWatcher.Recovery recovery) {
    TableWatcher failing = watcher(0, recovery);
    store.outcomes.add(rows(5, false, "a"));
    failing.start();
    failWithError = true;
    failures = 1;
    store.outcomes.add(rows(8, false, "b"));
    store.answerPending();
    assertEquals(List.of(), caughtUp);
    store.outcomes.add(rows(8, false, "b"));
    store.outcomes.add(rows(8, false));
    eventLoop.advance(100);
    String second = recovery == TableWatcher.Recovery.REREAD ? "snapshot [b]" : "changes [b]";
    assertEquals(List.of("snapshot [a]", second), delivered);
    assertEquals(8L, caughtUp.get(caughtUp.size() - 1));
    assertEquals(List.of(GatewayEvent.STORE_LISTENER_FAILED), logged);
  }

  @Test
  void changesThatListenerFailedToAdoptFromPollComeWithTheFeed() {
    store.outcomes.add(rows(5, false, "a"));
    watcher.start();
    failures = 1;
    store.outcomes.add(rows(8, false, "b"));
    watcher.poll();
    assertEquals(List.of("snapshot [a]"), delivered);
    assertEquals(List.of(), caughtUp);
    store.outcomes.add(rows(8, false, "b"));
    store.answerPending();
    assertEquals(List.of("snapshot [a]", "changes [b]"), delivered);
    assertEquals(List.of(8L), caughtUp);
  }

  @ParameterizedTest(name = "pause {0} ms: {1}")
  @CsvSource({"0, 3, 3", "200, 2, 3"})
  void pausesAfterChangesButNotAfterEmptyResponse(long pause, int atOnce, int afterThePause) {
    store.outcomes.add(rows(5, false, "a"));
    store.outcomes.add(rows(6, false, "b"));
    watcher(pause).start();
    assertEquals(atOnce, store.requests.size());
    eventLoop.advance(pause);
    assertEquals(afterThePause, store.requests.size());
    assertEquals("watch 6", store.requests.get(2));
  }
}
