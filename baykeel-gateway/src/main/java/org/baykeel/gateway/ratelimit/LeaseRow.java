package org.baykeel.gateway.ratelimit;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.baykeel.gateway.peer.PeerAddress;

/**
 * The stored row of a partition's lease.
 *
 * @param holder the node that holds the lease
 * @param incarnation identifies one run of the holder's process
 * @param expiresStoreMillis the time on the store's clock from which the holder no longer acts
 *     under the lease; 0 if the holder has released it
 */
record LeaseRow(PeerAddress holder, long incarnation, long expiresStoreMillis) {
  private static final byte FORMAT = 1;
  private static final int FIXED_LENGTH = 17;

  byte[] encode() {
    byte[] address = holder.toString().getBytes(StandardCharsets.US_ASCII);
    return ByteBuffer.allocate(FIXED_LENGTH + address.length)
        .put(FORMAT)
        .putLong(incarnation)
        .putLong(expiresStoreMillis)
        .put(address)
        .array();
  }

  /**
   * Decodes a row written by {@link #encode}.
   *
   * @throws IllegalArgumentException if the bytes are not a lease row
   */
  static LeaseRow decode(byte[] value) {
    ByteBuffer buffer = ByteBuffer.wrap(value);
    if (value.length <= FIXED_LENGTH || buffer.get() != FORMAT) {
      throw new IllegalArgumentException("invalid lease row of " + value.length + " bytes");
    }
    long incarnation = buffer.getLong();
    long expires = buffer.getLong();
    byte[] address = new byte[buffer.remaining()];
    buffer.get(address);
    return new LeaseRow(
        PeerAddress.parse(new String(address, StandardCharsets.US_ASCII)), incarnation, expires);
  }
}
