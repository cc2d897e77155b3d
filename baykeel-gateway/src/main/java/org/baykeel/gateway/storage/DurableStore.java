package org.baykeel.gateway.storage;

import java.util.function.Consumer;

/**
 * Storage that outlives every process. Answers arrive on the caller's event loop; every call is
 * answered once, at the latest after the adapter's time-out.
 */
public interface DurableStore {

  /** Applies a transaction. */
  void transact(Transaction transaction, Consumer<TransactionOutcome> callback);

  /** Reads rows as of one moment. */
  void read(RangeRead read, Consumer<ReadOutcome> callback);

  /**
   * Waits for changes of a table.
   *
   * @param afterVersion only changes later than this
   * @param waitMillis how long the store may wait for the first change
   */
  void watch(String table, long afterVersion, int waitMillis, Consumer<ReadOutcome> callback);
}
