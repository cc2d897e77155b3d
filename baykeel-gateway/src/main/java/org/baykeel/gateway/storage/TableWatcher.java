package org.baykeel.gateway.storage;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;

/**
 * Keeps a process's copy of a table current: reads it whole once, then follows the feed. Versions
 * never go back: an answer older than what is known is dropped and asked for again, since a store
 * that has just recovered may answer reads from an old state.
 */
public final class TableWatcher {
  private static final int PAGE_ROWS = 500;
  private static final long FIRST_RETRY_MILLIS = 50;
  private static final long MAX_RETRY_MILLIS = 400;

  /** The store tells at once what it has. */
  private static final int IMMEDIATE_WAIT_MILLIS = 1;

  /** What a watcher does after a question to the feed has failed. */
  public enum Recovery {
    /** It goes on from the last version that it knows. */
    RESUME,
    /**
     * It reads the table again before it tells that all changes are known: a feed that has just
     * recovered may be silent for a while about changes that were made before.
     */
    REREAD
  }

  /** Receives the table's state. */
  public interface Listener {
    /** The whole table as of one version. */
    void onSnapshot(List<StoredRow> rows);

    /** Rows that changed since the last call. */
    void onChanges(List<StoredRow> rows);

    /**
     * All changes before a moment have been told. A snapshot proves nothing of the kind: a store
     * that has just recovered may answer reads from an old state.
     *
     * @param nanos the moment, of this process's clock
     */
    default void onCaughtUp(long nanos) {}
  }

  private final String table;
  private final DurableStore store;
  private final int waitMillis;
  private final long pauseMillis;
  private final Recovery recovery;
  private final BiConsumer<Runnable, Long> scheduler;
  private final Listener listener;
  private final List<StoredRow> pages = new ArrayList<>();
  private long knownVersion;
  private long firstPageVersion;
  private boolean hasSnapshot;
  private boolean polling;

  /** Whether changes may have been missed since the feed was followed without a failure. */
  private boolean changesMayBeMissed;

  private long retryMillis = FIRST_RETRY_MILLIS;

  /**
   * Creates a watcher.
   *
   * @param waitMillis how long one question to the feed may wait; also bounds how late a lost path
   *     to the store is noticed
   * @param pauseMillis how long the feed is left alone after it told changes, so that many that
   *     follow each other come in few answers: each of N nodes hears each change, so a call for
   *     each would grow with nodes times changes; also how much later a change may be learnt
   * @param recovery what is done after a question to the feed has failed
   * @param scheduler runs a task after a delay in milliseconds on the event loop
   */
  public TableWatcher(
      String table,
      DurableStore store,
      int waitMillis,
      long pauseMillis,
      Recovery recovery,
      BiConsumer<Runnable, Long> scheduler,
      Listener listener) {
    this.table = table;
    this.store = store;
    this.waitMillis = waitMillis;
    this.pauseMillis = pauseMillis;
    this.recovery = recovery;
    this.scheduler = scheduler;
    this.listener = listener;
  }

  /** Begins to read. */
  public void start() {
    readFrom(null);
  }

  /** Whether the table has been read whole. */
  public boolean hasSnapshot() {
    return hasSnapshot;
  }

  private void readFrom(String fromKey) {
    if (fromKey == null) {
      pages.clear();
    }
    store.read(new RangeRead(table, "", fromKey, PAGE_ROWS), this::onPage);
  }

  private void onPage(ReadOutcome outcome) {
    if (!(outcome instanceof ReadOutcome.Rows page) || page.version() < knownVersion) {
      retryLater(() -> readFrom(null));
      return;
    }
    if (pages.isEmpty()) {
      firstPageVersion = page.version();
    }
    pages.addAll(page.rows());
    if (page.more()) {
      String lastKey = page.rows().get(page.rows().size() - 1).address().key();
      readFrom(lastKey + '\0');
      return;
    }
    retryMillis = FIRST_RETRY_MILLIS;
    knownVersion = Math.max(knownVersion, firstPageVersion);
    hasSnapshot = true;
    changesMayBeMissed = false;
    listener.onSnapshot(List.copyOf(pages));
    pages.clear();
    follow();
  }

  /**
   * Asks the feed at once for what it has, beside the question that waits for changes; does nothing
   * while such a question is under way or the table has not been read.
   */
  public void poll() {
    if (polling || !hasSnapshot || changesMayBeMissed) {
      return;
    }
    polling = true;
    store.watch(table, knownVersion, IMMEDIATE_WAIT_MILLIS, this::onPollOutcome);
  }

  private void onPollOutcome(ReadOutcome outcome) {
    polling = false;
    if (outcome instanceof ReadOutcome.Rows changes) {
      deliver(changes);
    }
  }

  private void follow() {
    store.watch(table, knownVersion, waitMillis, this::onFeedOutcome);
  }

  /** After a failure the first answer is to come soon, whether or not there are changes. */
  private void resumeAfterFailure() {
    store.watch(table, knownVersion, IMMEDIATE_WAIT_MILLIS, this::onFeedOutcome);
  }

  private void deliver(ReadOutcome.Rows changes) {
    knownVersion = Math.max(knownVersion, changes.version());
    if (!changes.rows().isEmpty()) {
      listener.onChanges(changes.rows());
    }
    if (!changes.more() && !changesMayBeMissed) {
      listener.onCaughtUp(changes.asOfNanos());
    }
  }

  private void onFeedOutcome(ReadOutcome outcome) {
    if (outcome instanceof ReadOutcome.Rows changes) {
      retryMillis = FIRST_RETRY_MILLIS;
      deliver(changes);
      if (changes.rows().isEmpty() || pauseMillis == 0) {
        follow();
      } else {
        scheduler.accept(this::follow, pauseMillis);
      }
    } else if (outcome instanceof ReadOutcome.HistoryGone) {
      readFrom(null);
    } else {
      changesMayBeMissed = recovery == Recovery.REREAD;
      retryLater(changesMayBeMissed ? () -> readFrom(null) : this::resumeAfterFailure);
    }
  }

  private void retryLater(Runnable task) {
    scheduler.accept(task, retryMillis);
    retryMillis = Math.min(MAX_RETRY_MILLIS, retryMillis * 2);
  }
}
