package org.baykeel.core.scheduling;

/** Highest-random-weight hashing: a key moves only if its own holder goes. */
public final class RendezvousHash {
  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;
  private static final long MIX = 0x9E3779B97F4A7C15L;

  private RendezvousHash() {}

  /** The weight of a holder for a key; the holder with the highest weight wins. */
  public static long score(String key, String holder) {
    long hash = append(append(FNV_OFFSET, key) * FNV_PRIME, holder);
    hash = (hash ^ (hash >>> 32)) * MIX;
    return hash ^ (hash >>> 29);
  }

  private static long append(long hash, String text) {
    long result = hash;
    for (int i = 0; i < text.length(); i++) {
      result = (result ^ text.charAt(i)) * FNV_PRIME;
    }
    return result;
  }
}
