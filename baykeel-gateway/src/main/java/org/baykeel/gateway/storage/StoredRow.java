package org.baykeel.gateway.storage;

/**
 * A row of the store.
 *
 * @param address the row's address
 * @param value the row's bytes; null if the row was removed
 * @param version the store's change counter at the row's last change
 */
@SuppressWarnings("ArrayRecordComponent")
public record StoredRow(RowAddress address, byte[] value, long version) {

  /** Whether the row was removed, as the change feed reports it. */
  public boolean removed() {
    return value == null;
  }
}
