package org.baykeel.gateway.scheduling;

/** A hash that is the same in every process, so that nodes agree without talking. */
public final class StableHash {
  private static final int OFFSET_BASIS = 0x811C9DC5;
  private static final int PRIME = 0x01000193;

  private StableHash() {}

  /** The FNV-1a hash of a text, with its bits mixed for use modulo small numbers. */
  public static int of(String text) {
    int hash = OFFSET_BASIS;
    for (int i = 0; i < text.length(); i++) {
      hash = (hash ^ text.charAt(i)) * PRIME;
    }
    hash ^= hash >>> 16;
    hash *= 0x85EBCA6B;
    return hash ^ hash >>> 13;
  }

  /** The hash of two texts, for rendezvous hashing. */
  public static int of(String first, String second) {
    return of(first + '\n' + second);
  }
}
