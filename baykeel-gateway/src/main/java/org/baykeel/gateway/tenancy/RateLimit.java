package org.baykeel.gateway.tenancy;

/**
 * A tenant's limit on requests over all nodes together.
 *
 * @param requestsPerSecond the sustained rate; 0 if the tenant has no limit
 * @param burst the number of requests that may run at once beyond the rate
 */
public record RateLimit(double requestsPerSecond, double burst) {
  /** No limit. */
  public static final RateLimit UNLIMITED = new RateLimit(0, 0);

  public RateLimit {
    if (!(requestsPerSecond >= 0) || !(burst >= 0)) {
      throw new IllegalArgumentException(
          "invalid rate limit: requestsPerSecond=" + requestsPerSecond + " burst=" + burst);
    }
  }

  /** Returns whether the number of requests is not limited. */
  public boolean unlimited() {
    return requestsPerSecond == 0;
  }
}
