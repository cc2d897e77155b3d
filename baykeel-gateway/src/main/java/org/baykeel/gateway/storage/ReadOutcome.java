package org.baykeel.gateway.storage;

import java.util.List;

/** How a read or a question to the feed ended. */
public sealed interface ReadOutcome {

  /**
   * The rows, as of one moment.
   *
   * @param rows in rising order of key, or of change
   * @param more whether rows beyond the limit follow
   * @param version the store's counter at that moment
   * @param asOfNanos a moment of this process's clock that is not after that moment
   */
  record Rows(List<StoredRow> rows, boolean more, long version, long asOfNanos)
      implements ReadOutcome {}

  /** The feed's history before the given version is gone; read the table again. */
  record HistoryGone() implements ReadOutcome {}

  /** No usable answer. */
  record Failed(String reason) implements ReadOutcome {}
}
