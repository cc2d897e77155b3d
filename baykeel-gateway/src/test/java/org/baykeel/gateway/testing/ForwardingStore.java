package org.baykeel.gateway.testing;

import java.util.function.Consumer;
import org.baykeel.gateway.storage.DurableStore;
import org.baykeel.gateway.storage.RangeRead;
import org.baykeel.gateway.storage.ReadOutcome;
import org.baykeel.gateway.storage.Transaction;
import org.baykeel.gateway.storage.TransactionOutcome;

/** Forwards all calls to another store; subclasses override the calls that differ. */
public class ForwardingStore implements DurableStore {
  private final DurableStore store;

  /** Creates a store in front of another one. */
  protected ForwardingStore(DurableStore store) {
    this.store = store;
  }

  @Override
  public void transact(Transaction transaction, Consumer<TransactionOutcome> answer) {
    store.transact(transaction, answer);
  }

  @Override
  public void read(RangeRead read, Consumer<ReadOutcome> answer) {
    store.read(read, answer);
  }

  @Override
  public void watch(String table, long afterVersion, int waitMillis, Consumer<ReadOutcome> answer) {
    store.watch(table, afterVersion, waitMillis, answer);
  }
}
