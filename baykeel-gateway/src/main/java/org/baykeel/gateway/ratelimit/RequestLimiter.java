package org.baykeel.gateway.ratelimit;

import java.util.function.Consumer;
import org.baykeel.gateway.tenancy.LimitUse;

/** Decides whether a request of a tenant may run within the tenant's limit. */
@FunctionalInterface
public interface RequestLimiter {
  /** Lets every request run. */
  RequestLimiter NONE = (request, timeoutMillis, answer) -> answer.accept(new Decision.Allowed());

  /** What was decided on a request. */
  sealed interface Decision {
    /**
     * It may run, once.
     *
     * @param use what its tenant asked for lately
     */
    record Allowed(LimitUse use) implements Decision {
      /** For a tenant of whose use nothing is known. */
      public Allowed() {
        this(LimitUse.UNKNOWN);
      }
    }

    /**
     * The tenant is beyond its limit.
     *
     * @param retryMillis when the request may be tried again with some hope
     * @param remaining requests that might still run, kept for others
     */
    record Exceeded(long retryMillis, double remaining) implements Decision {}

    /** Nobody could be asked in time. */
    record Undecided() implements Decision {}
  }

  /**
   * Decides on one request.
   *
   * @param request what is known of it
   * @param timeoutMillis the longest time that the decision may take
   * @param answer takes the decision, exactly once, possibly before this returns
   */
  void decide(LimitedRequest request, long timeoutMillis, Consumer<Decision> answer);
}
