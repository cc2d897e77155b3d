package org.baykeel.gateway.testing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.baykeel.gateway.runtime.EventLoop;
import org.baykeel.gateway.storage.DurableStore;
import org.baykeel.gateway.storage.RangeRead;
import org.baykeel.gateway.storage.ReadOutcome;
import org.baykeel.gateway.storage.RowAddress;
import org.baykeel.gateway.storage.StoredRow;
import org.baykeel.gateway.storage.Transaction;
import org.baykeel.gateway.storage.TransactionOutcome;

/** A store in memory and virtual time, with the faults of the table service. */
public final class TestingStore implements DurableStore {
  private static final long RESPONSE_MILLIS = 5;
  private static final long LOST_MILLIS = 1_000;

  /** The fault that applies to the next transactions. */
  public enum Fault {
    NONE,
    /** The transaction is refused and not applied. */
    REFUSE,
    /** The transaction is applied, but its response is lost. */
    LOSE_RESPONSE,
    /**
     * The response is lost, and the transaction is applied three seconds later if its conditions
     * still hold.
     */
    APPLY_LATE
  }

  private static final long LATE_MILLIS = 3_000;
  private static final long WATCH_STEP_MILLIS = 10;

  private final EventLoop eventLoop;
  private final Map<String, StoredRow> rows = new TreeMap<>();
  private Map<String, StoredRow> oldRows;
  private Fault fault = Fault.NONE;
  private boolean readsFail;
  private long version = 10;
  private int transactions;
  private int reads;
  private long feedSuppressedUntilNanos;
  private long feedSuppressedAfterVersion;

  public TestingStore(EventLoop eventLoop) {
    this.eventLoop = eventLoop;
    this.feedSuppressedUntilNanos = eventLoop.nanoTime();
  }

  /** Applies a fault to all transactions from now on. */
  public void fault(Fault newFault) {
    fault = newFault;
  }

  /** Makes reads and watches fail or succeed. */
  public void failReads(boolean fail) {
    readsFail = fail;
  }

  /** Freezes the state that reads return, whatever rows change later, or unfreezes it. */
  public void freezeReads(boolean freeze) {
    oldRows = freeze ? new TreeMap<>(rows) : null;
  }

  /** Returns the number of rows of a table. */
  public long count(String table) {
    return rows.values().stream().filter(row -> row.address().table().equals(table)).count();
  }

  /** Returns the rows of a table. */
  public List<StoredRow> rows(String table) {
    return rows.values().stream().filter(row -> row.address().table().equals(table)).toList();
  }

  public int transactions() {
    return transactions;
  }

  public int reads() {
    return reads;
  }

  @Override
  public void transact(Transaction transaction, Consumer<TransactionOutcome> answer) {
    transactions++;
    switch (fault) {
      case REFUSE -> respondLater(answer, new TransactionOutcome.Refused("busy"), RESPONSE_MILLIS);
      case LOSE_RESPONSE -> {
        apply(transaction);
        respondLater(answer, new TransactionOutcome.Unknown("lost"), LOST_MILLIS);
      }
      case APPLY_LATE -> {
        eventLoop.schedule(LATE_MILLIS, () -> apply(transaction));
        respondLater(answer, new TransactionOutcome.Unknown("lost"), LOST_MILLIS);
      }
      default -> eventLoop.schedule(RESPONSE_MILLIS, () -> answer.accept(apply(transaction)));
    }
  }

  private <T> void respondLater(Consumer<T> answer, T outcome, long millis) {
    eventLoop.schedule(millis, () -> answer.accept(outcome));
  }

  private TransactionOutcome apply(Transaction transaction) {
    List<StoredRow> present = new ArrayList<>();
    boolean holds = true;
    for (Transaction.Expectation expectation : transaction.expectations()) {
      StoredRow row = rows.get(key(expectation.address()));
      if (row != null) {
        present.add(row);
      }
      holds &= (row == null ? Transaction.ABSENT : row.version()) == expectation.version();
    }
    if (!holds) {
      return new TransactionOutcome.Conflict(present);
    }
    version++;
    for (Transaction.Put put : transaction.puts()) {
      rows.put(key(put.address()), new StoredRow(put.address(), put.value(), version));
    }
    for (RowAddress removal : transaction.removals()) {
      rows.remove(key(removal));
    }
    return new TransactionOutcome.Applied(version);
  }

  @Override
  public void read(RangeRead read, Consumer<ReadOutcome> answer) {
    reads++;
    if (readsFail) {
      respondLater(answer, new ReadOutcome.Failed("down"), RESPONSE_MILLIS);
      return;
    }
    List<StoredRow> found = new ArrayList<>();
    for (StoredRow row : (oldRows == null ? rows : oldRows).values()) {
      RowAddress address = row.address();
      if (address.table().equals(read.table())
          && address.partition().equals(read.partition())
          && (read.fromKey() == null || address.key().compareTo(read.fromKey()) >= 0)
          && found.size() < read.limit()) {
        found.add(row);
      }
    }
    respondLater(
        answer, new ReadOutcome.Rows(found, false, version, eventLoop.nanoTime()), RESPONSE_MILLIS);
  }

  @Override
  public void watch(String table, long afterVersion, int waitMillis, Consumer<ReadOutcome> answer) {
    watchUntil(table, afterVersion, eventLoop.nanoTime() + waitMillis * 1_000_000L, answer);
  }

  private void watchUntil(
      String table, long afterVersion, long endNanos, Consumer<ReadOutcome> answer) {
    if (readsFail) {
      respondLater(answer, new ReadOutcome.Failed("down"), RESPONSE_MILLIS);
      return;
    }
    boolean feedSuppressed = eventLoop.nanoTime() - feedSuppressedUntilNanos < 0;
    List<StoredRow> changed =
        rows.values().stream()
            .filter(row -> row.address().table().equals(table) && row.version() > afterVersion)
            .filter(row -> !feedSuppressed || row.version() <= feedSuppressedAfterVersion)
            .sorted(Comparator.comparingLong(StoredRow::version))
            .toList();
    if (changed.isEmpty() && eventLoop.nanoTime() - endNanos < 0) {
      eventLoop.schedule(
          WATCH_STEP_MILLIS, () -> watchUntil(table, afterVersion, endNanos, answer));
      return;
    }
    long reportedVersion =
        feedSuppressed ? Math.max(afterVersion, feedSuppressedAfterVersion) : version;
    respondLater(
        answer,
        new ReadOutcome.Rows(changed, false, reportedVersion, eventLoop.nanoTime()),
        RESPONSE_MILLIS);
  }

  /** Writes a row as the operator would, independent of the faults of transactions. */
  public void put(RowAddress address, byte[] value) {
    version++;
    rows.put(key(address), new StoredRow(address, value, version));
  }

  /** Suppresses, for a while, all changes in the feed that are made from now on. */
  public void suppressFeed(long millis) {
    feedSuppressedUntilNanos = eventLoop.nanoTime() + millis * 1_000_000;
    feedSuppressedAfterVersion = version;
  }

  /** Returns the value of a row, or null. */
  public byte[] value(RowAddress address) {
    StoredRow row = rows.get(key(address));
    return row == null ? null : row.value();
  }

  private static String key(RowAddress address) {
    return address.table() + '\n' + address.partition() + '\n' + address.key();
  }
}
