package org.baykeel.core.message;

import static java.util.Objects.requireNonNull;

/**
 * One entry of a shard's replicated log.
 *
 * @param term the leader's term when it appended the entry
 * @param record what happened
 */
public record LogEntry(long term, LogRecord record) {
  public LogEntry {
    requireNonNull(record, "record");
  }
}
