package org.baykeel.gateway.ratelimit;

import org.baykeel.gateway.tenancy.LimitUse;

/** Tokens of one tenant that this node has been granted and has not used yet. */
final class TokenSlice {
  private int tokens;
  private long expiresNanos;
  private boolean firstTurnsAllowed;
  private LimitUse use = LimitUse.UNKNOWN;

  /** Takes one token if the slice has one for a request of the given kind. */
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

  /** Returns the tenant's demand relative to its limit, as received with the last tokens. */
  LimitUse use() {
    return use;
  }

  /**
   * Adds tokens.
   *
   * @param expires when the added tokens expire; unused tokens of the slice may expire earlier
   *     because of it
   * @param newFirstTurnsAllowed whether first turns may use the tokens of the slice, earlier ones
   *     included
   * @param newUse the tenant's current demand relative to its limit
   * @return the number of expired tokens, which are lost
   */
  int add(int added, long expires, boolean newFirstTurnsAllowed, LimitUse newUse, long nowNanos) {
    use = newUse;
    boolean expired = nowNanos - expiresNanos >= 0;
    int lost = expired ? tokens : 0;
    expiresNanos = expired || tokens == 0 || expires - expiresNanos < 0 ? expires : expiresNanos;
    tokens = added + (expired ? 0 : tokens);
    firstTurnsAllowed = newFirstTurnsAllowed;
    return lost;
  }
}
