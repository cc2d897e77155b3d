package org.baykeel.gateway.storage;

import java.util.List;

/** The outcome of a range read or of a request to the change feed. */
public sealed interface ReadOutcome {

  /**
   * The rows as of one moment.
   *
   * @param rows the rows, in ascending order of key for a read and of change for the feed
   * @param more whether there are further rows after the last one; false if there are none
   * @param version the store's change counter at that moment
   * @param asOfNanos a time of this process's monotonic clock that is not later than that moment
   */
  record Rows(List<StoredRow> rows, boolean more, long version, long asOfNanos)
      implements ReadOutcome {
    /** Copies the list of rows. */
    public Rows {
      rows = List.copyOf(rows);
      if (more && rows.isEmpty()) {
        throw new IllegalArgumentException("page without rows is not the last one");
      }
    }
  }

  /** The feed no longer has the changes since the given version; the table must be read again. */
  record HistoryGone() implements ReadOutcome {}

  /** The store gave no usable response. */
  record Failed(String reason) implements ReadOutcome {}
}
