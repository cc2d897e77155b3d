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
 * Bytes that the build in production wrote, from the files below the resource folder production.
 */
public final class RecordedBytes {
  private static final int HEADER_BYTES = MessageHeaderDecoder.ENCODED_LENGTH;
  private static final int TEMPLATE_OFFSET = 2;
  private static final int SCHEMA_OFFSET = 4;
  private static final int VERSION_OFFSET = 6;

  private final Map<String, byte[]> byName = new LinkedHashMap<>();

  /** Reads a file: a name and hexadecimal digits in each line. */
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

  /** All that was recorded, in the order of the file. */
  public Map<String, byte[]> all() {
    return byName;
  }

  /** What was recorded under a name. */
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
   * Asserts that a reader of the recorded version finds in a message what it looks for: it goes by
   * the identifiers and the length of the block in the header, and reads the fields that it knows.
   */
  public static void assertReadable(byte[] recorded, byte[] written) {
    assertEquals(number(recorded, TEMPLATE_OFFSET), number(written, TEMPLATE_OFFSET));
    assertEquals(number(recorded, SCHEMA_OFFSET), number(written, SCHEMA_OFFSET));
    assertTrue(number(recorded, VERSION_OFFSET) <= number(written, VERSION_OFFSET), "version");
    int known = number(recorded, 0);
    int present = number(written, 0);
    assertTrue(known <= present, "a block of " + present + " bytes, of " + known + " before");
    assertArrayEquals(block(recorded, known), block(written, known));
    assertArrayEquals(afterBlock(recorded, known), afterBlock(written, present));
  }

  private static byte[] block(byte[] message, int length) {
    return Arrays.copyOfRange(message, HEADER_BYTES, HEADER_BYTES + length);
  }

  private static byte[] afterBlock(byte[] message, int blockLength) {
    return Arrays.copyOfRange(message, HEADER_BYTES + blockLength, message.length);
  }

  /** A message as a later version would write it that has more fields in its block. */
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

  /** The same bytes under an identifier that no version has. */
  public static byte[] withUnknownTemplate(byte[] message) {
    byte[] unknown = message.clone();
    put(unknown, TEMPLATE_OFFSET, 9_999);
    return unknown;
  }
}
