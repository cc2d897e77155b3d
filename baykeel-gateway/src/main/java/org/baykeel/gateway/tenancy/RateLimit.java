package org.baykeel.gateway.tenancy;

/**
 * How many requests a tenant may run at all nodes together.
 *
 * @param requestsPerSecond the sustained rate; 0 if the tenant has no limit
 * @param burst requests that may run at once beyond the rate
 */
public record RateLimit(double requestsPerSecond, double burst) {
  /** No limit. */
  public static final RateLimit UNLIMITED = new RateLimit(0, 0);

  public RateLimit {
    if (!(requestsPerSecond >= 0) || !(burst >= 0)) {
      throw new IllegalArgumentException("a limit of " + requestsPerSecond + ", burst " + burst);
    }
  }

  /** Whether any number of requests may run. */
  public boolean unlimited() {
    return requestsPerSecond == 0;
  }
}
