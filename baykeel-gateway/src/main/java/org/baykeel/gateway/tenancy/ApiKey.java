package org.baykeel.gateway.tenancy;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;

/**
 * The secret by which a caller names its tenant. Its text is never printed: {@link #toString} gives
 * a short digest, the same at every node, by which lines of a log can be matched.
 */
public final class ApiKey {
  private static final int OFFSET_BASIS = 0x811C9DC5;
  private static final int PRIME = 0x01000193;

  private final byte[] secret;
  private final int digest;

  /**
   * Creates a key.
   *
   * @param text the text of the key
   */
  public ApiKey(String text) {
    this.secret = text.getBytes(StandardCharsets.UTF_8);
    int hash = OFFSET_BASIS;
    for (byte octet : secret) {
      hash = (hash ^ octet) * PRIME;
    }
    this.digest = hash ^ hash >>> 15;
  }

  /** Compares all bytes of keys of the same length, wherever they differ. */
  @Override
  public boolean equals(Object other) {
    return other instanceof ApiKey key && MessageDigest.isEqual(secret, key.secret);
  }

  @Override
  public int hashCode() {
    return digest;
  }

  /** The digest in hexadecimal; it does not reveal the key. */
  @Override
  public String toString() {
    return Integer.toHexString(digest);
  }
}
