package org.baykeel.gateway.storage;

import java.util.function.Consumer;

/**
 * Storage whose data outlives every process. Callbacks run on the event loop of the process that
 * made the call; each callback is invoked exactly once, at the latest after the timeout of the
 * implementation.
 */
public interface DurableStore {

  /** Applies a transaction atomically. */
  void transact(Transaction transaction, Consumer<TransactionOutcome> callback);

  /** Reads a range of rows as of one moment. */
  void read(RangeRead read, Consumer<ReadOutcome> callback);

  /**
   * Waits for changes of a table (long poll).
   *
   * @param afterVersion only changes with a later version are returned
   * @param waitMillis the longest time for which the store waits for the first change, in
   *     milliseconds
   */
  void watch(String table, long afterVersion, int waitMillis, Consumer<ReadOutcome> callback);
}
