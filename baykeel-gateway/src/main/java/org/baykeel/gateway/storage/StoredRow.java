package org.baykeel.gateway.storage;

/**
 * A row as the store holds it.
 *
 * @param address where it lies
 * @param value its bytes; null if the row was removed
 * @param version the store's counter at its last change
 */
@SuppressWarnings("ArrayRecordComponent")
public record StoredRow(RowAddress address, byte[] value, long version) {

  /** Whether the feed tells of the row's removal. */
  public boolean removed() {
    return value == null;
  }
}
