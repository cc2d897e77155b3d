package org.baykeel.gateway.storage;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import org.baykeel.gateway.telemetry.ErrorText;
import org.baykeel.gateway.telemetry.GatewayEvent;
import org.baykeel.gateway.telemetry.GatewayLog;

/**
 * Keeps a process's copy of a table current: reads the whole table once, then follows its change
 * feed with long polls. A page older than the known version is discarded and the table read again,
 * since a store that has just recovered may serve reads from an old state.
 *
 * <p>A listener that throws does not end this: the rows count as not received, and are requested
 * again as after a failure of the store.
 */
public final class TableWatcher {
  private static final int PAGE_ROWS = 500;
  private static final long FIRST_RETRY_MILLIS = 50;
  private static final long MAX_RETRY_MILLIS = 400;

  /** Wait time for which the feed responds at once, with the changes that it has. */
  private static final int IMMEDIATE_WAIT_MILLIS = 1;

  /** The action after a request to the feed has failed. */
  public enum Recovery {
    /** Resumes the feed from the last known version. */
    RESUME,
    /**
     * Reads the table again before it reports again that all changes are known, since a feed that
     * has just recovered may omit earlier changes for a while.
     */
    REREAD
  }

  /** Receives the state of the table and its changes. */
  public interface Listener {
    /** The whole table as of one version. */
    void onSnapshot(List<StoredRow> rows);

    /** The rows that changed since the last call, removed ones included. */
    void onChanges(List<StoredRow> rows);

    /**
     * All changes before a given time have been delivered. A snapshot alone does not prove this,
     * since a store that has just recovered may serve reads from an old state.
     *
     * @param nanos the time, of this process's monotonic clock
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
  private final GatewayLog log;
  private final List<StoredRow> pages = new ArrayList<>();
  private long knownVersion;
  private long firstPageVersion;
  private boolean hasSnapshot;
  private boolean polling;

  /**
   * Whether changes may have been missed, because the feed failed and the table was not read since.
   */
  private boolean changesMayBeMissed;

  private long retryMillis = FIRST_RETRY_MILLIS;

  /**
   * Creates a watcher.
   *
   * @param waitMillis the longest time for which one request to the feed waits, in milliseconds;
   *     also bounds how late the loss of the path to the store is detected
   * @param pauseMillis the pause after a response with changes, in milliseconds, which batches
   *     successive changes into few responses: each of N nodes receives each change, so one call
   *     per change would cost nodes times changes; a change may be received this much later
   * @param recovery the action after a request to the feed has failed
   * @param scheduler runs a task after a delay in milliseconds on the event loop
   */
  public TableWatcher(
      String table,
      DurableStore store,
      int waitMillis,
      long pauseMillis,
      Recovery recovery,
      BiConsumer<Runnable, Long> scheduler,
      Listener listener,
      GatewayLog log) {
    this.table = table;
    this.store = store;
    this.waitMillis = waitMillis;
    this.pauseMillis = pauseMillis;
    this.recovery = recovery;
    this.scheduler = scheduler;
    this.listener = listener;
    this.log = log;
  }

  /** Starts to read the table. */
  public void start() {
    readFrom(null);
  }

  /** Whether the whole table has been read. */
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
    knownVersion = Math.max(knownVersion, firstPageVersion);
    hasSnapshot = true;
    changesMayBeMissed = false;
    List<StoredRow> rows = List.copyOf(pages);
    pages.clear();
    if (passOn(() -> listener.onSnapshot(rows))) {
      retryMillis = FIRST_RETRY_MILLIS;
      follow();
    } else {
      changesMayBeMissed = true;
      retryLater(() -> readFrom(null));
    }
  }

  /** Calls the listener and returns whether it succeeded. */
  private boolean passOn(Runnable call) {
    try {
      call.run();
      return true;
    } catch (RuntimeException | Error e) {
      log.write(GatewayEvent.STORE_LISTENER_FAILED, "table", table, "error", ErrorText.of(e));
      return false;
    }
  }

  /**
   * Requests the changes that the feed has now, beside the long poll. Does nothing while such a
   * request is pending, while the table has not been read, or while it must be read again after a
   * failure.
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

  /**
   * Resumes the feed after a failure with a request that the store answers at once, even without
   * changes, so that the end of an outage is detected early.
   */
  private void resumeAfterFailure() {
    store.watch(table, knownVersion, IMMEDIATE_WAIT_MILLIS, this::onFeedOutcome);
  }

  /**
   * Passes on the changes that are not known yet. A long poll and a {@link #poll} beside it may be
   * answered in any order, and the later answer may hold changes that were passed on before.
   *
   * @return whether the listener succeeded; otherwise the changes remain unknown
   */
  private boolean deliver(ReadOutcome.Rows changes) {
    List<StoredRow> unknown = changes.rows().stream().filter(this::mayBeUnknown).toList();
    if (!unknown.isEmpty() && !passOn(() -> listener.onChanges(unknown))) {
      return false;
    }
    knownVersion = Math.max(knownVersion, changes.version());
    return changes.more()
        || changesMayBeMissed
        || passOn(() -> listener.onCaughtUp(changes.asOfNanos()));
  }

  /** A row that gives no version may always be unknown. */
  private boolean mayBeUnknown(StoredRow row) {
    return row.version() == 0 || row.version() > knownVersion;
  }

  private void onFeedOutcome(ReadOutcome outcome) {
    if (outcome instanceof ReadOutcome.Rows changes && deliver(changes)) {
      retryMillis = FIRST_RETRY_MILLIS;
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
