package org.baykeel.gateway.storage;

import java.util.List;

/**
 * A change of rows of one partition that takes effect whole or not at all.
 *
 * @param expectations versions that rows must have
 * @param puts rows to write
 * @param removals rows to remove
 */
public record Transaction(
    List<Expectation> expectations, List<Put> puts, List<RowAddress> removals) {

  /** The version of a row that is not present. */
  public static final long ABSENT = 0;

  /** A condition: the row has this version; {@link #ABSENT} if it must not exist. */
  public record Expectation(RowAddress address, long version) {}

  /** A row to write. */
  @SuppressWarnings("ArrayRecordComponent")
  public record Put(RowAddress address, byte[] value) {}

  /** Writes one row if it has the given version. */
  public static Transaction replace(RowAddress address, long expectedVersion, byte[] value) {
    return new Transaction(
        List.of(new Expectation(address, expectedVersion)),
        List.of(new Put(address, value)),
        List.of());
  }
}
