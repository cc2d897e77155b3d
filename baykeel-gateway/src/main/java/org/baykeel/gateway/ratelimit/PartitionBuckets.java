package org.baykeel.gateway.ratelimit;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.baykeel.gateway.tenancy.LimitUse;
import org.baykeel.gateway.tenancy.Tenant;
import org.baykeel.gateway.tenancy.TenantId;

/** The buckets of the tenants of one partition, at the node that holds its lease. */
final class PartitionBuckets {
  /** A share of the tokens that are left, so that many nodes that ask for slices all get some. */
  private static final double LARGEST_SLICE = 0.25;

  /** Programs that have begun, as they are known here; those unheard of for longest go first. */
  private static final int MAX_PROGRAMS = 4_096;

  /** The shortest time after which a refused program should come back. */
  private static final long OPENING_RETRY_MILLIS = 150;

  private final double extraTokens;
  private final double firstTokens;
  private final boolean heldBefore;
  private final Map<TenantId, TokenBucket> buckets = new HashMap<>();
  private final Map<Integer, Boolean> begunPrograms =
      new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Integer, Boolean> eldest) {
          return size() > MAX_PROGRAMS;
        }
      };

  /**
   * Creates buckets.
   *
   * @param extraTokens what a full bucket holds beyond the tenant's burst
   * @param firstTokens what a bucket holds at first
   * @param heldBefore whether somebody may have lent tokens of these buckets before
   */
  PartitionBuckets(double extraTokens, double firstTokens, boolean heldBefore) {
    this.extraTokens = extraTokens;
    this.firstTokens = firstTokens;
    this.heldBefore = heldBefore;
  }

  private TokenBucket newBucket(Tenant tenant, long nowNanos) {
    TokenBucket bucket = new TokenBucket(tenant.limit(), extraTokens, firstTokens, nowNanos);
    if (heldBefore) {
      bucket.oweWhatAnotherMayHaveLent();
    }
    return bucket;
  }

  /**
   * Decides on a request for tokens.
   *
   * @param tenant a tenant with a limit
   * @param asked what the first of the tokens is for, as far as the node that asks knows
   * @param programHash of its program; a program that has begun elsewhere is known here by it
   * @param wanted how many tokens are wanted; one is enough
   */
  TokenDecision decide(
      Tenant tenant, RequestClass asked, int programHash, int wanted, long nowNanos) {
    boolean begun = begunPrograms.get(programHash) != null;
    RequestClass kind = begun ? RequestClass.CONTINUING : asked;
    TokenBucket bucket = buckets.computeIfAbsent(tenant.id(), id -> newBucket(tenant, nowNanos));
    bucket.advance(tenant.limit(), nowNanos);
    LimitUse use = bucket.use();
    double openingReserve =
        bucket.overdrawn() ? RequestClass.OPENING.reserve(bucket.capacity()) : 0;
    double reserve = kind == RequestClass.OPENING ? openingReserve : 0;
    if (bucket.tokens() < 1 && kind == RequestClass.CONTINUING) {
      long delayMillis = bucket.lend();
      if (delayMillis >= 0) {
        bucket.asked(1);
        return new TokenDecision(1, false, delayMillis, bucket.tokens(), use);
      }
    }
    if (bucket.tokens() - reserve < 1) {
      long retryMillis = bucket.millisUntil(reserve + 1);
      if (kind == RequestClass.OPENING) {
        retryMillis = Math.max(OPENING_RETRY_MILLIS, retryMillis);
      }
      bucket.asked(1);
      return new TokenDecision(0, false, Math.max(1, retryMillis), bucket.tokens(), use);
    }
    int slice = (int) Math.max(1, Math.min(wanted, bucket.tokens() * LARGEST_SLICE));
    int taken = bucket.take(slice);
    if (programHash != LimitedRequest.NO_PROGRAM) {
      begunPrograms.put(programHash, true);
    }
    bucket.asked(taken);
    boolean openingsAllowed = bucket.tokens() >= openingReserve;
    return new TokenDecision(taken, openingsAllowed, 0, bucket.tokens(), use);
  }
}
