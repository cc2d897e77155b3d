package org.baykeel.gateway.storage;

import java.util.List;

/**
 * A change of rows of one partition that is applied atomically if all its expectations hold.
 *
 * @param expectations the versions that rows must have
 * @param puts the rows to write
 * @param removals the rows to remove
 */
public record Transaction(
    List<Expectation> expectations, List<Put> puts, List<RowAddress> removals) {

  /** The version of a row that does not exist. */
  public static final long ABSENT = 0;

  /** A condition that a row has a version, or does not exist if the version is {@link #ABSENT}. */
  public record Expectation(RowAddress address, long version) {}

  /** A row to write. */
  @SuppressWarnings("ArrayRecordComponent")
  public record Put(RowAddress address, byte[] value) {}

  /** Returns a transaction that writes one row if the row has the given version. */
  public static Transaction replace(RowAddress address, long expectedVersion, byte[] value) {
    return new Transaction(
        List.of(new Expectation(address, expectedVersion)),
        List.of(new Put(address, value)),
        List.of());
  }
}
