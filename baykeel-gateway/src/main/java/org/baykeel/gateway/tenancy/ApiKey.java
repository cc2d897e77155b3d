package org.baykeel.gateway.tenancy;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;

/**
 * The secret by which a caller identifies its tenant. Its text is never printed: {@link #toString}
 * returns a short digest, the same on every node, by which log lines can be correlated.
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

  /** Compares all bytes of keys of equal length, wherever the first difference is. */
  @Override
  public boolean equals(Object other) {
    return other instanceof ApiKey key && MessageDigest.isEqual(secret, key.secret);
  }

  @Override
  public int hashCode() {
    return digest;
  }

  /** Returns the digest in hexadecimal, which does not reveal the key. */
  @Override
  public String toString() {
    return Integer.toHexString(digest);
  }
}
