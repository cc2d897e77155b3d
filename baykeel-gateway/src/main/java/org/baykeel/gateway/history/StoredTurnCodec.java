package org.baykeel.gateway.history;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Encodes a stored turn as one or more values of bounded size; the first value contains their
 * number.
 */
public final class StoredTurnCodec {
  private static final byte FORMAT = 1;

  /** The bytes before the content of each value: the format and the number of values. */
  private static final int HEADER_BYTES = 2;

  private StoredTurnCodec() {}

  /**
   * Encodes a turn without its identifier as one value.
   *
   * @param turn the turn
   */
  public static byte[] encodeWhole(StoredTurn turn) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(turn.bytes() + 256);
    try (DataOutputStream out = new DataOutputStream(bytes)) {
      out.writeShort(turn.ancestors().size());
      for (String ancestor : turn.ancestors()) {
        out.writeUTF(ancestor);
      }
      out.writeInt(turn.input().length);
      out.write(turn.input());
      out.writeInt(turn.output().length);
      out.write(turn.output());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return bytes.toByteArray();
  }

  /**
   * Decodes a value written by {@link #encodeWhole}.
   *
   * @throws IllegalArgumentException if the bytes are not such a value
   */
  public static StoredTurn decodeWhole(String id, byte[] value) {
    try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(value))) {
      List<String> ancestors = new ArrayList<>();
      int count = in.readUnsignedShort();
      for (int i = 0; i < count; i++) {
        ancestors.add(in.readUTF());
      }
      byte[] input = readBytes(in);
      byte[] output = readBytes(in);
      return new StoredTurn(id, ancestors, input, output);
    } catch (IOException e) {
      throw new IllegalArgumentException("invalid stored turn of " + value.length + " bytes", e);
    }
  }

  private static byte[] readBytes(DataInputStream in) throws IOException {
    int length = in.readInt();
    if (length < 0 || length > in.available()) {
      throw new EOFException("field of " + length + " bytes is cut");
    }
    return in.readNBytes(length);
  }

  static List<byte[]> encode(StoredTurn turn, int maxValueBytes) {
    byte[] body = encodeWhole(turn);
    int maxPieceBytes = maxValueBytes - HEADER_BYTES;
    int pieces = Math.max(1, (body.length + maxPieceBytes - 1) / maxPieceBytes);
    List<byte[]> values = new ArrayList<>(pieces);
    for (int i = 0; i < pieces; i++) {
      int from = i * maxPieceBytes;
      int bytes = Math.min(body.length - from, maxPieceBytes);
      byte[] value = new byte[HEADER_BYTES + bytes];
      value[0] = FORMAT;
      value[1] = (byte) pieces;
      System.arraycopy(body, from, value, HEADER_BYTES, bytes);
      values.add(value);
    }
    return values;
  }

  static int pieceCount(byte[] firstValue) {
    if (firstValue.length < HEADER_BYTES || firstValue[0] != FORMAT || firstValue[1] == 0) {
      throw new IllegalArgumentException("invalid stored turn of " + firstValue.length + " bytes");
    }
    return firstValue[1] & 0xFF;
  }

  static StoredTurn decode(String id, List<byte[]> values) {
    int length = 0;
    for (byte[] value : values) {
      if (value.length < HEADER_BYTES) {
        throw new IllegalArgumentException("invalid piece of a stored turn");
      }
      length += value.length - HEADER_BYTES;
    }
    byte[] body = new byte[length];
    int at = 0;
    for (byte[] value : values) {
      System.arraycopy(value, HEADER_BYTES, body, at, value.length - HEADER_BYTES);
      at += value.length - HEADER_BYTES;
    }
    return decodeWhole(id, body);
  }
}
