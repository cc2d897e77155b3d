package org.baykeel.gateway.storage;

import java.util.List;

/** The outcome of a transaction. */
public sealed interface TransactionOutcome {

  /** The transaction was applied; the rows that it wrote have this version. */
  record Applied(long version) implements TransactionOutcome {}

  /**
   * An expectation did not hold and nothing was changed. The rows are the current state of those
   * rows with an expectation that exist.
   */
  record Conflict(List<StoredRow> rows) implements TransactionOutcome {}

  /** The transaction was refused or not sent: it was not applied and will not be. */
  record Refused(String reason) implements TransactionOutcome {}

  /**
   * There was no response: the transaction may have been applied, or may be applied later if its
   * expectations still hold then.
   */
  record Unknown(String reason) implements TransactionOutcome {}
}
