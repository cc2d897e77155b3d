package org.baykeel.gateway.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.baykeel.gateway.testing.TestingEventLoop;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class TestTableWatcher {
  private final TestingEventLoop eventLoop = new TestingEventLoop();
  private final ScriptedStore store = new ScriptedStore();
  private final List<String> heard = new ArrayList<>();
  private final List<Long> complete = new ArrayList<>();
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
            heard.add("snapshot " + keys(rows));
          }

          @Override
          public void onChanges(List<StoredRow> rows) {
            heard.add("changes " + keys(rows));
          }

          @Override
          public void onCaughtUp(long nanos) {
            complete.add(nanos);
          }
        });
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

  /** Answers in the order of the script and notes the questions. */
  private static final class ScriptedStore implements DurableStore {
    private final ArrayDeque<ReadOutcome> answers = new ArrayDeque<>();
    private final List<String> questions = new ArrayList<>();
    private final List<Integer> waits = new ArrayList<>();

    @Override
    public void transact(Transaction transaction, Consumer<TransactionOutcome> answer) {
      throw new UnsupportedOperationException();
    }

    @Override
    public void read(RangeRead read, Consumer<ReadOutcome> answer) {
      questions.add("read " + read.fromKey());
      reply(answer);
    }

    @Override
    public void watch(
        String table, long afterVersion, int waitMillis, Consumer<ReadOutcome> answer) {
      questions.add("watch " + afterVersion);
      waits.add(waitMillis);
      reply(answer);
    }

    private void reply(Consumer<ReadOutcome> answer) {
      if (!answers.isEmpty()) {
        answer.accept(answers.poll());
      }
    }
  }

  @Test
  void readsAllPagesAndFollowsFromTheFirst() {
    store.answers.add(rows(5, true, "a", "b"));
    store.answers.add(rows(9, false, "c"));
    store.answers.add(rows(11, false, "d"));
    watcher.start();
    assertEquals(List.of("snapshot [a, b, c]", "changes [d]"), heard);
    assertEquals(List.of("read null", "read b\0", "watch 5", "watch 11"), store.questions);
  }

  /**
   * A store that has just recovered may answer reads from an old state; the feed tells the rest.
   */
  @Test
  void onlyTheFeedProvesThatAllChangesAreKnown() {
    store.answers.add(rows(5, false, "a"));
    watcher.start();
    assertEquals(List.of(), complete);
    store.answers.add(rows(6, true, "b"));
    watcher.poll();
    assertEquals(List.of(), complete);
    store.answers.add(rows(7, false));
    watcher.poll();
    assertEquals(List.of(7L), complete);
    assertEquals(List.of("snapshot [a]", "changes [b]"), heard);
  }

  @Test
  void oneCheckAtATime() {
    store.answers.add(rows(5, false, "a"));
    watcher.poll();
    watcher.start();
    watcher.poll();
    watcher.poll();
    assertEquals(List.of("read null", "watch 5", "watch 5"), store.questions);
    assertEquals(List.of(2_000, 1), store.waits);
  }

  /** A simulated schedule: the feed fell silent just after it had recovered (seed 8835). */
  @Test
  void provesNothingAfterAFailureBeforeTheTableWasReadAgain() {
    TableWatcher careful = watcher(0, TableWatcher.Recovery.REREAD);
    store.answers.add(rows(5, false, "a"));
    store.answers.add(new ReadOutcome.Failed("down"));
    careful.start();
    careful.poll();
    assertEquals(List.of("read null", "watch 5"), store.questions);
    store.answers.add(rows(8, false, "b"));
    store.answers.add(rows(8, false));
    eventLoop.advance(60);
    assertEquals(List.of("snapshot [a]", "snapshot [b]"), heard);
    assertEquals(List.of(8L), complete);
  }

  @Test
  void asksForAnAnswerAtOnceAfterAFailure() {
    store.answers.add(rows(5, false, "a"));
    store.answers.add(new ReadOutcome.Failed("down"));
    store.answers.add(rows(5, false));
    watcher.start();
    eventLoop.advance(100);
    assertEquals(List.of(2_000, 1, 2_000), store.waits);
  }

  @Test
  void readsAgainWhenHistoryIsGone() {
    store.answers.add(rows(5, false, "a"));
    store.answers.add(new ReadOutcome.HistoryGone());
    store.answers.add(rows(20, false, "b"));
    watcher.start();
    assertEquals(List.of("snapshot [a]", "snapshot [b]"), heard);
    assertEquals("watch 20", store.questions.get(3));
  }

  @Test
  void dropsAnAnswerFromAnOldState() {
    store.answers.add(rows(30, false, "a"));
    store.answers.add(new ReadOutcome.HistoryGone());
    store.answers.add(rows(10, false, "old"));
    store.answers.add(rows(31, false, "new"));
    watcher.start();
    eventLoop.advance(200);
    assertEquals(List.of("snapshot [a]", "snapshot [new]"), heard);
  }

  @Test
  void asksAgainAfterAFailure() {
    store.answers.add(new ReadOutcome.Failed("down"));
    store.answers.add(rows(5, false, "a"));
    store.answers.add(new ReadOutcome.Failed("down"));
    store.answers.add(rows(6, false, "b"));
    watcher.start();
    eventLoop.advance(1_000);
    assertEquals(List.of("snapshot [a]", "changes [b]"), heard);
  }

  @ParameterizedTest(name = "pause {0} ms: {1}")
  @CsvSource({"0, 3, 3", "200, 2, 3"})
  void restsAfterChangesAndNotAfterAnEmptyAnswer(long pause, int atOnce, int afterThePause) {
    store.answers.add(rows(5, false, "a"));
    store.answers.add(rows(6, false, "b"));
    watcher(pause).start();
    assertEquals(atOnce, store.questions.size());
    eventLoop.advance(pause);
    assertEquals(afterThePause, store.questions.size());
    assertEquals("watch 6", store.questions.get(2));
  }
}
