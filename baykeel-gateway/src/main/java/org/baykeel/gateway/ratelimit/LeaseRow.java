package org.baykeel.gateway.ratelimit;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.baykeel.gateway.peer.PeerAddress;

/**
 * What the store keeps of a partition's lease.
 *
 * @param holder the node that holds it
 * @param incarnation identifies one life of the holder's process
 * @param expiresStoreMillis the holder does nothing under the lease once the store's clock shows
 *     this; 0 if it has given the lease back
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
   * Reads what {@link #encode} has written.
   *
   * @throws IllegalArgumentException if the bytes are something else
   */
  static LeaseRow decode(byte[] value) {
    ByteBuffer buffer = ByteBuffer.wrap(value);
    if (value.length <= FIXED_LENGTH || buffer.get() != FORMAT) {
      throw new IllegalArgumentException("not a lease: " + value.length + " bytes");
    }
    long life = buffer.getLong();
    long expires = buffer.getLong();
    byte[] address = new byte[buffer.remaining()];
    buffer.get(address);
    return new LeaseRow(
        PeerAddress.parse(new String(address, StandardCharsets.US_ASCII)), life, expires);
  }
}
