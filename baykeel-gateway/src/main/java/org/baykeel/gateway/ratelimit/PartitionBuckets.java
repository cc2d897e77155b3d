package org.baykeel.gateway.ratelimit;

import java.util.HashMap;
import java.util.Map;
import org.baykeel.gateway.tenancy.Tenant;
import org.baykeel.gateway.tenancy.TenantId;

/** The buckets of the tenants of one partition, at the node that holds its lease. */
final class PartitionBuckets {
  /** A share of the tokens that are left, so that many nodes that ask for slices all get some. */
  private static final double LARGEST_SLICE = 0.25;

  /** The shortest time after which a refused program should come back. */
  private static final long OPENING_RETRY_MILLIS = 150;

  private final double extraTokens;
  private final double firstTokens;
  private final Map<TenantId, TokenBucket> buckets = new HashMap<>();

  /**
   * Creates buckets.
   *
   * @param extraTokens what a full bucket holds beyond the tenant's burst
   * @param firstTokens what a bucket holds at first
   */
  PartitionBuckets(double extraTokens, double firstTokens) {
    this.extraTokens = extraTokens;
    this.firstTokens = firstTokens;
  }

  /**
   * Decides on a request for tokens.
   *
   * @param tenant a tenant with a limit
   * @param kind what the first of the tokens is for
   * @param wanted how many tokens are wanted; one is enough
   */
  TokenDecision decide(Tenant tenant, RequestClass kind, int wanted, long nowNanos) {
    TokenBucket bucket =
        buckets.computeIfAbsent(
            tenant.id(), id -> new TokenBucket(tenant.limit(), extraTokens, firstTokens, nowNanos));
    bucket.advance(tenant.limit(), nowNanos);
    double openingReserve =
        bucket.overdrawn() ? RequestClass.OPENING.reserve(bucket.capacity()) : 0;
    double reserve = kind == RequestClass.OPENING ? openingReserve : 0;
    if (bucket.tokens() - reserve < 1) {
      long retryMillis = bucket.millisUntil(reserve + 1);
      if (kind == RequestClass.OPENING) {
        retryMillis = Math.max(OPENING_RETRY_MILLIS, retryMillis);
      }
      bucket.asked(1);
      return new TokenDecision(0, false, Math.max(1, retryMillis), bucket.tokens());
    }
    int slice = (int) Math.max(1, Math.min(wanted, bucket.tokens() * LARGEST_SLICE));
    int taken = bucket.take(slice);
    bucket.asked(taken);
    boolean openingsAllowed = bucket.tokens() >= openingReserve;
    return new TokenDecision(taken, openingsAllowed, 0, bucket.tokens());
  }
}
