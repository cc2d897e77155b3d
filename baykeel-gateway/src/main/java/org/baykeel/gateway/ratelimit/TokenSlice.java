package org.baykeel.gateway.ratelimit;

/** Tokens of one tenant that this node has asked for and not used yet. */
final class TokenSlice {
  private int tokens;
  private long expiresNanos;
  private boolean openingsAllowed;

  /** Takes one token if there is one for a request of the kind. */
  boolean take(RequestClass kind, long nowNanos) {
    if (tokens == 0 || nowNanos - expiresNanos >= 0) {
      return false;
    }
    if (kind == RequestClass.OPENING && !openingsAllowed) {
      return false;
    }
    tokens--;
    return true;
  }

  /**
   * Adds tokens.
   *
   * @param expires when the added ones are over; those that were left may end earlier by it
   * @return tokens that were over and are lost
   */
  int add(int added, long expires, boolean allowed, long nowNanos) {
    boolean over = nowNanos - expiresNanos >= 0;
    int lost = over ? tokens : 0;
    expiresNanos = over || tokens == 0 || expires - expiresNanos < 0 ? expires : expiresNanos;
    tokens = added + (over ? 0 : tokens);
    openingsAllowed = allowed;
    return lost;
  }
}
