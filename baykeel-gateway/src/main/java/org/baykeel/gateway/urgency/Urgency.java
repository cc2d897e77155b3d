package org.baykeel.gateway.urgency;

/** Ranks requests for the queues of engines. */
@FunctionalInterface
public interface Urgency {
  /** Stands for a request without a rank, which engines take in the order of arrival. */
  int UNRANKED = -1;

  /** Ranks no request. */
  Urgency NONE = (request, nowNanos) -> UNRANKED;

  /**
   * The rank of a request that is about to be sent.
   *
   * @param request what its rank depends on, as of now
   * @return 0 to {@link UrgencyLevel#LEAST_URGENT}, 0 being the most urgent; or {@link #UNRANKED}
   */
  int rankOf(RankedRequest request, long nowNanos);
}
