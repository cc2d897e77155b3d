package org.baykeel.gateway.ratelimit;

/**
 * The kind of a request, which determines how many tokens it must leave in the bucket of a tenant
 * that is above its limit.
 */
public enum RequestKind {
  /**
   * The first turn of a program. Only finished programs have value, so a program that cannot finish
   * within the limit should not start.
   */
  FIRST_TURN {
    @Override
    double reserve(double capacity) {
      return Math.min(capacity * RequestKind.RESERVED_FRACTION, capacity - 1);
    }
  },
  /** A request of a program that has started, or of no program. */
  CONTINUING {
    @Override
    double reserve(double capacity) {
      return 0;
    }
  };

  /** The fraction of a bucket that is reserved for programs that have started. */
  private static final double RESERVED_FRACTION = 0.5;

  /**
   * Returns the tokens that must remain after the request in the bucket of a tenant that is above
   * its limit.
   *
   * @param capacity the tokens in a full bucket
   */
  abstract double reserve(double capacity);
}
