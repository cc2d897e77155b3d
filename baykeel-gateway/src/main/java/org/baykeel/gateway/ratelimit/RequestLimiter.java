package org.baykeel.gateway.ratelimit;

import java.util.function.Consumer;
import org.baykeel.gateway.tenancy.LimitUse;

/** Decides whether a request of a tenant may run within the tenant's limit. */
@FunctionalInterface
public interface RequestLimiter {
  /** Allows every request. */
  RequestLimiter NONE = (request, timeoutMillis, answer) -> answer.accept(new Decision.Allowed());

  /** The decision on a request. */
  sealed interface Decision {
    /**
     * The request may run, once.
     *
     * @param use the tenant's current demand relative to its limit
     */
    record Allowed(LimitUse use) implements Decision {
      /** Creates a decision for a tenant whose demand is not known. */
      public Allowed() {
        this(LimitUse.UNKNOWN);
      }
    }

    /**
     * The tenant is above its limit.
     *
     * @param retryMillis the delay in milliseconds after which a retry may succeed
     * @param remaining the tokens that remain in the bucket but are not available to this request;
     *     negative if tokens are owed
     */
    record Exceeded(long retryMillis, double remaining) implements Decision {}

    /** No node that holds the tenant's bucket decided in time. */
    record Undecided() implements Decision {}
  }

  /**
   * Decides on one request.
   *
   * @param request the request and the state of its program
   * @param timeoutMillis the longest time that the decision may take, in milliseconds
   * @param answer receives the decision exactly once, possibly before this method returns
   */
  void decide(LimitedRequest request, long timeoutMillis, Consumer<Decision> answer);
}
