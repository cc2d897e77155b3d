package org.baykeel.core.message;

import static java.util.Objects.requireNonNull;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;

/** Immutable bytes with value equality. The array is never changed after construction. */
public final class Payload {
  /** No bytes. */
  public static final Payload EMPTY = new Payload(new byte[0]);

  private final byte[] bytes;

  private Payload(byte[] bytes) {
    this.bytes = requireNonNull(bytes, "bytes");
  }

  /** Wraps an array that the caller gives up. */
  public static Payload wrap(byte[] bytes) {
    return bytes.length == 0 ? EMPTY : new Payload(bytes);
  }

  /** The UTF-8 bytes of a text. */
  public static Payload of(String text) {
    return wrap(text.getBytes(StandardCharsets.UTF_8));
  }

  /** The bytes themselves, not a copy; must not be changed. */
  public byte[] array() {
    return bytes;
  }

  /** Length in bytes. */
  public int length() {
    return bytes.length;
  }

  /** The bytes from an offset to the end. */
  public Payload from(int offset) {
    return offset >= bytes.length
        ? EMPTY
        : new Payload(Arrays.copyOfRange(bytes, offset, bytes.length));
  }

  /** SHA-256 of the bytes. */
  public Payload sha256() {
    try {
      return new Payload(MessageDigest.getInstance("SHA-256").digest(bytes));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }

  /** The bytes as UTF-8 text. */
  public String text() {
    return new String(bytes, StandardCharsets.UTF_8);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Payload that && Arrays.equals(bytes, that.bytes);
  }

  @Override
  public int hashCode() {
    return Arrays.hashCode(bytes);
  }

  @Override
  public String toString() {
    return "Payload[" + bytes.length + " bytes]";
  }
}
