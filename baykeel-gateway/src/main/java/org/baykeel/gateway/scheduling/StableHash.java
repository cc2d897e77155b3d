package org.baykeel.gateway.scheduling;

/** A hash that is the same in every process, so that nodes agree without communicating. */
public final class StableHash {
  private static final int OFFSET_BASIS = 0x811C9DC5;
  private static final int PRIME = 0x01000193;

  private StableHash() {}

  /**
   * Returns the FNV-1a hash of a text, with its bits mixed so that it can be used modulo small
   * numbers.
   */
  public static int of(String text) {
    return mix(add(OFFSET_BASIS, text));
  }

  /**
   * Returns the hash of two texts joined by a line feed, for rendezvous hashing. It does not
   * allocate the joined text, since a selection computes one hash for each engine.
   */
  public static int of(String first, String second) {
    int hash = add(OFFSET_BASIS, first);
    hash = (hash ^ '\n') * PRIME;
    return mix(add(hash, second));
  }

  /** Returns the hash of a text and a number, for rendezvous hashing. */
  public static int of(String text, long number) {
    int hash = add(OFFSET_BASIS, text);
    for (int shift = 0; shift < Long.SIZE; shift += Byte.SIZE) {
      hash = (hash ^ (int) (number >>> shift) & 0xFF) * PRIME;
    }
    return mix(hash);
  }

  private static int add(int hash, String text) {
    int sum = hash;
    for (int i = 0; i < text.length(); i++) {
      sum = (sum ^ text.charAt(i)) * PRIME;
    }
    return sum;
  }

  private static int mix(int hash) {
    int mixed = (hash ^ hash >>> 16) * 0x85EBCA6B;
    return mixed ^ mixed >>> 13;
  }
}
