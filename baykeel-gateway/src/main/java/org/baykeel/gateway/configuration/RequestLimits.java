package org.baykeel.gateway.configuration;

/**
 * Bounds on what a caller may send.
 *
 * @param maxHeaderBytes largest request line and header fields together
 * @param maxBodyBytes largest body
 * @param headerTimeoutMillis longest time from the first byte of a request to the end of its body
 *     without progress
 * @param idleTimeoutMillis longest rest of a connection between requests
 */
public record RequestLimits(
    int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

  /** Used until a configuration is known. */
  public static final RequestLimits DEFAULT = new RequestLimits(16_384, 4_194_304, 3_000, 15_000);
}
