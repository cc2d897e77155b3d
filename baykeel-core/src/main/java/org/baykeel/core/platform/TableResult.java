package org.baykeel.core.platform;

import static java.util.Objects.requireNonNull;

import org.baykeel.core.message.Payload;

/**
 * What the table service said to a read or a conditional write.
 *
 * @param version the row's version; zero if there is none
 * @param value the row's value; empty unless {@link Status#FOUND}
 */
public record TableResult(Status status, long version, Payload value) {
  /** The kinds of answer. */
  public enum Status {
    FOUND,
    ABSENT,
    WRITTEN,
    /** The row has another version than the write expected. */
    CONFLICT,
    /** No answer: a write may or may not have taken effect. */
    UNAVAILABLE
  }

  /** The answer that never came. */
  public static final TableResult UNAVAILABLE =
      new TableResult(Status.UNAVAILABLE, 0, Payload.EMPTY);

  public TableResult {
    requireNonNull(status, "status");
    requireNonNull(value, "value");
  }
}
