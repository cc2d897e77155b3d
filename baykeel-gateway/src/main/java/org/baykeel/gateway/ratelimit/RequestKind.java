package org.baykeel.gateway.ratelimit;

/** Which requests of a tenant go first when it asks for more than its limit. */
public enum RequestKind {
  /**
   * The first request of a program. Only whole programs are worth anything, so a program that
   * cannot be finished within the limit is better not begun.
   */
  FIRST_TURN {
    @Override
    double reserve(double capacity) {
      return Math.min(capacity * RequestKind.RESERVED_FRACTION, capacity - 1);
    }
  },
  /** A request of a program that has begun. */
  CONTINUING {
    @Override
    double reserve(double capacity) {
      return 0;
    }
  };

  /** The part of a bucket that is kept for programs that have begun. */
  private static final double RESERVED_FRACTION = 0.5;

  /**
   * Tokens that must stay in the bucket of a tenant that is beyond its limit.
   *
   * @param capacity what the bucket holds when it is full
   */
  abstract double reserve(double capacity);
}
