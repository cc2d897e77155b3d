package org.baykeel.gateway.storage;

import java.util.List;

/** How a transaction ended. */
public sealed interface TransactionOutcome {

  /** It took effect; its rows have this version. */
  record Applied(long version) implements TransactionOutcome {}

  /** A condition did not hold; the current state of the rows that are present. */
  record Conflict(List<StoredRow> rows) implements TransactionOutcome {}

  /** The store refused it; nothing was done and nothing will be. */
  record Refused(String reason) implements TransactionOutcome {}

  /** No answer: it may have been done, or be done later while its conditions hold. */
  record Unknown(String reason) implements TransactionOutcome {}
}
