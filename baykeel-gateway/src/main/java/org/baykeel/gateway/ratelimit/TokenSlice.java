package org.baykeel.gateway.ratelimit;

import org.baykeel.gateway.tenancy.LimitUse;

/** Tokens of one tenant that this node has asked for and not used yet. */
final class TokenSlice {
  private int tokens;
  private long expiresNanos;
  private boolean firstTurnsAllowed;
  private LimitUse use = LimitUse.UNKNOWN;

  /** Takes one token if there is one for a request of the kind. */
  boolean take(RequestKind kind, long nowNanos) {
    if (tokens == 0 || nowNanos - expiresNanos >= 0) {
      return false;
    }
    if (kind == RequestKind.FIRST_TURN && !firstTurnsAllowed) {
      return false;
    }
    tokens--;
    return true;
  }

  /** What the tenant asked for lately, as it was told with the last tokens. */
  LimitUse use() {
    return use;
  }

  /**
   * Adds tokens.
   *
   * @param expires when the added ones are over; those that were left may end earlier by it
   * @param newUse what the tenant asked for lately
   * @return tokens that were over and are lost
   */
  int add(int added, long expires, boolean allowed, LimitUse newUse, long nowNanos) {
    use = newUse;
    boolean expired = nowNanos - expiresNanos >= 0;
    int lost = expired ? tokens : 0;
    expiresNanos = expired || tokens == 0 || expires - expiresNanos < 0 ? expires : expiresNanos;
    tokens = added + (expired ? 0 : tokens);
    firstTurnsAllowed = allowed;
    return lost;
  }
}
