package org.baykeel.gateway.storage;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * The value of a row that holds several encoded messages and the time at which it was written.
 *
 * @param storeMillis when it was written, by the store's clock, in milliseconds
 * @param parts the messages, each of at most {@link Short#MAX_VALUE} bytes
 */
public record StampedParts(long storeMillis, List<byte[]> parts) {
  private static final byte FORMAT = 1;
  private static final int HEADER_BYTES = 1 + Long.BYTES;

  /** Copies the list of messages. */
  public StampedParts {
    parts = List.copyOf(parts);
  }

  /** Returns the value of the row. */
  public byte[] encode() {
    int bytes = HEADER_BYTES;
    for (byte[] part : parts) {
      bytes += Short.BYTES + part.length;
    }
    ByteBuffer value = ByteBuffer.allocate(bytes);
    value.put(FORMAT).putLong(storeMillis);
    parts.forEach(part -> value.putShort((short) part.length).put(part));
    return value.array();
  }

  /**
   * Decodes the value of a row; one of a later format has no parts.
   *
   * @throws IllegalArgumentException if the value is malformed
   */
  public static StampedParts decode(byte[] value) {
    ByteBuffer bytes = ByteBuffer.wrap(value);
    List<byte[]> parts = new ArrayList<>();
    try {
      if (bytes.get() != FORMAT) {
        return new StampedParts(0, List.of());
      }
      long storeMillis = bytes.getLong();
      while (bytes.hasRemaining()) {
        byte[] part = new byte[bytes.getShort()];
        bytes.get(part);
        parts.add(part);
      }
      return new StampedParts(storeMillis, parts);
    } catch (BufferUnderflowException | NegativeArraySizeException e) {
      throw new IllegalArgumentException("row of messages is malformed", e);
    }
  }
}
