package org.baykeel.gateway.program;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Objects;
import org.baykeel.gateway.buffering.EngineBody;

/**
 * Identifies the work that a request asks of an engine. Requests with equal fingerprints differ at
 * most in what belongs to a single try, such as their identifiers and deadlines.
 *
 * @param value the upper 16 bits are a hash of the texts and of the length of the body, which is
 *     cheap to compute; the lower 48 bits are a cryptographic hash of the texts and the body
 */
public record RequestFingerprint(long value) implements Comparable<RequestFingerprint> {
  private static final int HEAD_SHIFT = 48;
  private static final long BODY_MASK = (1L << HEAD_SHIFT) - 1;

  /**
   * Collects the texts of a request that determine its work; their order matters. The body is read
   * once at the most, and must be open until then.
   */
  public static final class Builder {
    private final List<String> texts = new ArrayList<>();
    private final EngineBody body;
    private RequestFingerprint built;

    /**
     * Creates a builder without texts.
     *
     * @param body the body for engines
     */
    public Builder(EngineBody body) {
      this.body = body;
    }

    /** Creates a builder without texts for a body of one part. */
    public Builder(byte[] body) {
      this(EngineBody.of(body));
    }

    /**
     * Adds a text.
     *
     * @param text the text, or null if the request has no such part
     */
    public Builder add(String text) {
      texts.add(text);
      return this;
    }

    /** Returns the head of the fingerprint, without hashing the body. */
    public int head() {
      int hash = body.length();
      for (String text : texts) {
        hash = 31 * hash + Objects.hashCode(text);
      }
      return (hash ^ hash >>> 16) & 0xFFFF;
    }

    /**
     * Returns the fingerprint; all texts must have been added.
     *
     * @throws IllegalStateException if it was not built before and the body is released
     */
    public RequestFingerprint build() {
      if (built == null) {
        MessageDigest digest = sha256();
        for (String text : texts) {
          addText(digest, text);
        }
        body.parts().forEach(digest::update);
        long hash = ByteBuffer.wrap(digest.digest()).getLong();
        built = new RequestFingerprint((long) head() << HEAD_SHIFT | hash & BODY_MASK);
      }
      return built;
    }

    private static void addText(MessageDigest digest, String text) {
      byte[] bytes = text == null ? new byte[0] : text.getBytes(StandardCharsets.UTF_8);
      int length = text == null ? -1 : bytes.length;
      digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(length).array());
      digest.update(bytes);
    }

    private static MessageDigest sha256() {
      try {
        return MessageDigest.getInstance("SHA-256");
      } catch (NoSuchAlgorithmException e) {
        throw new IllegalStateException("every Java platform has SHA-256", e);
      }
    }
  }

  /** Returns the part of the fingerprint that does not depend on the content of the body. */
  public int head() {
    return (int) (value >>> HEAD_SHIFT);
  }

  /**
   * Implemented by hand because the generated methods of a record are linked at run time, which
   * delays each process start.
   */
  @Override
  public boolean equals(Object other) {
    return other instanceof RequestFingerprint fingerprint && value == fingerprint.value;
  }

  @Override
  public int hashCode() {
    return Long.hashCode(value);
  }

  @Override
  public int compareTo(RequestFingerprint other) {
    return Long.compareUnsigned(value, other.value);
  }

  /** Returns the value as 16 hexadecimal digits. */
  @Override
  public String toString() {
    return HexFormat.of().toHexDigits(value);
  }
}
