package org.baykeel.gateway.quarantine;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Locale;

/**
 * Identifies the work that a request asks of an engine. Requests with equal fingerprints differ at
 * most in what belongs to a single try, such as their identifiers and deadlines.
 *
 * @param value the first eight bytes of a SHA-256 hash
 */
public record RequestFingerprint(long value) implements Comparable<RequestFingerprint> {

  /** Collects the parts of a request that determine its work; their order matters. */
  public static final class Builder {
    private static final int ABSENT_LENGTH = -1;

    private final MessageDigest digest;

    /** Creates a builder without parts. */
    public Builder() {
      try {
        digest = MessageDigest.getInstance("SHA-256");
      } catch (NoSuchAlgorithmException e) {
        throw new IllegalStateException("every Java platform has SHA-256", e);
      }
    }

    /**
     * Adds a text.
     *
     * @param text the text, or null if the request has no such part
     */
    public Builder add(String text) {
      return text == null ? addLength(ABSENT_LENGTH) : add(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Adds bytes, preceded by their length. */
    public Builder add(byte[] bytes) {
      addLength(bytes.length);
      digest.update(bytes);
      return this;
    }

    private Builder addLength(int length) {
      digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(length).array());
      return this;
    }

    /** Returns the fingerprint of the parts added so far; the builder is then empty again. */
    public RequestFingerprint build() {
      return new RequestFingerprint(ByteBuffer.wrap(digest.digest()).getLong());
    }
  }

  @Override
  public int compareTo(RequestFingerprint other) {
    return Long.compareUnsigned(value, other.value);
  }

  /** Returns the value as 16 hexadecimal digits. */
  @Override
  public String toString() {
    return String.format(Locale.ROOT, "%016x", value);
  }
}
