package org.baykeel.gateway.storage;

import java.util.Locale;
import java.util.function.Consumer;
import org.baykeel.gateway.telemetry.GatewayMetrics;

/**
 * Counts the calls to the store by kind of call and table, and delegates each call to another
 * store.
 */
public final class CountingStore implements DurableStore {
  private final DurableStore store;
  private final GatewayMetrics metrics;

  /** The kind of a call. That of a transaction follows from its conditions and effects. */
  enum Kind {
    /** Reads rows. */
    READ,
    /** Waits for changes of a table. */
    WATCH,
    /** Changes rows on the condition that at least one row does not exist yet. */
    CREATE,
    /** Changes rows without such a condition. */
    CHANGE,
    /** Checks conditions and changes no row. */
    CHECK;

    static Kind of(Transaction transaction) {
      if (transaction.puts().isEmpty() && transaction.removals().isEmpty()) {
        return CHECK;
      }
      boolean absent =
          transaction.expectations().stream()
              .anyMatch(expectation -> expectation.version() == Transaction.ABSENT);
      return absent ? CREATE : CHANGE;
    }

    String label(String table) {
      return name().toLowerCase(Locale.ROOT) + '_' + table;
    }
  }

  /**
   * Creates a store that counts its calls.
   *
   * @param store executes the calls
   * @param metrics receives the counts
   */
  public CountingStore(DurableStore store, GatewayMetrics metrics) {
    this.store = store;
    this.metrics = metrics;
  }

  @Override
  public void transact(Transaction transaction, Consumer<TransactionOutcome> callback) {
    metrics.storeCalled(Kind.of(transaction).label(table(transaction)));
    store.transact(transaction, callback);
  }

  private static String table(Transaction transaction) {
    if (!transaction.puts().isEmpty()) {
      return transaction.puts().get(0).address().table();
    }
    if (!transaction.removals().isEmpty()) {
      return transaction.removals().get(0).table();
    }
    return transaction.expectations().isEmpty()
        ? "none"
        : transaction.expectations().get(0).address().table();
  }

  @Override
  public void read(RangeRead read, Consumer<ReadOutcome> callback) {
    metrics.storeCalled(Kind.READ.label(read.table()));
    store.read(read, callback);
  }

  @Override
  public void watch(
      String table, long afterVersion, int waitMillis, Consumer<ReadOutcome> callback) {
    metrics.storeCalled(Kind.WATCH.label(table));
    store.watch(table, afterVersion, waitMillis, callback);
  }
}
