package org.baykeel.gateway.configuration;

/**
 * Limits on the requests of callers.
 *
 * @param maxHeaderBytes the largest size of the request line and header fields together, in bytes
 * @param maxBodyBytes the largest body, in bytes
 * @param headerTimeoutMillis the longest time without progress from the first byte of a request to
 *     the end of its body, in milliseconds
 * @param idleTimeoutMillis the longest idle time of a connection between requests, in milliseconds
 */
public record RequestLimits(
    int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

  /** Applies until a configuration is known. */
  public static final RequestLimits DEFAULT = new RequestLimits(16_384, 4_194_304, 3_000, 15_000);
}
