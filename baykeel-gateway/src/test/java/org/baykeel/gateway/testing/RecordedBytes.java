package org.baykeel.gateway.testing;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.Map;
import org.baykeel.protocol.generated.MessageHeaderDecoder;

/**
 * Bytes that the version in production has written, from the files in the resource folder {@code
 * production}.
 */
public final class RecordedBytes {
  private static final int HEADER_BYTES = MessageHeaderDecoder.ENCODED_LENGTH;
  private static final int TEMPLATE_OFFSET = 2;
  private static final int SCHEMA_OFFSET = 4;
  private static final int VERSION_OFFSET = 6;

  private final Map<String, byte[]> byName = new LinkedHashMap<>();

  /** Reads a file in which each line has a name and hexadecimal digits. */
  public RecordedBytes(String file) {
    try (InputStream in = RecordedBytes.class.getResourceAsStream("/production/" + file)) {
      String text = new String(in.readAllBytes(), StandardCharsets.US_ASCII);
      for (String line : text.split("\n")) {
        String[] parts = line.split(" ");
        byName.put(parts[0], HexFormat.of().parseHex(parts[1]));
      }
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Returns all recorded messages, in the order of the file. */
  public Map<String, byte[]> all() {
    return byName;
  }

  /** Returns the message recorded under a name. */
  public byte[] named(String name) {
    return byName.get(name);
  }

  private static int number(byte[] message, int offset) {
    return ByteBuffer.wrap(message).order(ByteOrder.LITTLE_ENDIAN).getShort(offset) & 0xFFFF;
  }

  private static void put(byte[] message, int offset, int number) {
    ByteBuffer.wrap(message).order(ByteOrder.LITTLE_ENDIAN).putShort(offset, (short) number);
  }

  /**
   * Asserts that a reader of the recorded version can read a message. Such a reader uses the
   * identifiers and the block length in the header, and reads the fields of its own version.
   */
  public static void assertReadable(byte[] recorded, byte[] written) {
    assertEquals(number(recorded, TEMPLATE_OFFSET), number(written, TEMPLATE_OFFSET));
    assertEquals(number(recorded, SCHEMA_OFFSET), number(written, SCHEMA_OFFSET));
    assertTrue(number(recorded, VERSION_OFFSET) <= number(written, VERSION_OFFSET), "version");
    int known = number(recorded, 0);
    int present = number(written, 0);
    assertTrue(
        known <= present, "block of " + present + " bytes, recorded with " + known + " bytes");
    assertArrayEquals(block(recorded, known), block(written, known));
    assertArrayEquals(afterBlock(recorded, known), afterBlock(written, present));
  }

  private static byte[] block(byte[] message, int length) {
    return Arrays.copyOfRange(message, HEADER_BYTES, HEADER_BYTES + length);
  }

  private static byte[] afterBlock(byte[] message, int blockLength) {
    return Arrays.copyOfRange(message, HEADER_BYTES + blockLength, message.length);
  }

  /** Returns a message as a later version with more fields in its block would write it. */
  public static byte[] withLaterFields(byte[] message, int bytes) {
    int blockEnd = HEADER_BYTES + number(message, 0);
    byte[] later = new byte[message.length + bytes];
    System.arraycopy(message, 0, later, 0, blockEnd);
    Arrays.fill(later, blockEnd, blockEnd + bytes, (byte) 0x5A);
    System.arraycopy(message, blockEnd, later, blockEnd + bytes, message.length - blockEnd);
    put(later, 0, number(message, 0) + bytes);
    put(later, VERSION_OFFSET, number(message, VERSION_OFFSET) + 7);
    return later;
  }

  /** Returns the same bytes under a template identifier that no version has. */
  public static byte[] withUnknownTemplate(byte[] message) {
    byte[] unknown = message.clone();
    put(unknown, TEMPLATE_OFFSET, 9_999);
    return unknown;
  }
}
