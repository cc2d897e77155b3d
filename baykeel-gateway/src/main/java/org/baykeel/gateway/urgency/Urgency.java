package org.baykeel.gateway.urgency;

/** Ranks requests for the queues of engines. */
@FunctionalInterface
public interface Urgency {
  /** Stands for no rank: engines take requests without a rank in the order of arrival. */
  int UNRANKED = -1;

  /** An instance that ranks no request. */
  Urgency NONE = (request, nowNanos) -> UNRANKED;

  /**
   * Returns the rank of a request that is about to be sent.
   *
   * @param request the properties that its rank depends on, as of now
   * @return 0 to {@link UrgencyLevel#LEAST_URGENT}, 0 being the most urgent; or {@link #UNRANKED}
   */
  int rankOf(RankedRequest request, long nowNanos);
}
