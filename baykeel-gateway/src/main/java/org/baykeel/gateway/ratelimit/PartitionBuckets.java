package org.baykeel.gateway.ratelimit;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.baykeel.gateway.tenancy.LimitUse;
import org.baykeel.gateway.tenancy.RateLimit;
import org.baykeel.gateway.tenancy.Tenant;
import org.baykeel.gateway.tenancy.TenantId;

/**
 * The token buckets of the tenants of one partition, on the node that holds the partition's lease.
 */
final class PartitionBuckets {
  /**
   * The largest fraction of the remaining tokens that one slice takes, so that many nodes that
   * request slices at the same time all receive some.
   */
  private static final double MAX_SLICE_FRACTION = 0.25;

  /** The most programs whose last grant time is retained; the least recently used are evicted. */
  private static final int MAX_PROGRAMS = 4_096;

  /** The shortest retry delay of a refused first turn. */
  private static final long MIN_FIRST_TURN_RETRY_MILLIS = 150;

  /**
   * The longest retry delay of a refused first turn. The reserve that a first turn must leave in
   * the bucket shrinks as other programs finish, so longer estimates are too high.
   */
  private static final long MAX_FIRST_TURN_RETRY_MILLIS = 2_000;

  private final double extraTokens;
  private final double initialTokens;
  private final boolean heldBefore;
  private final Map<TenantId, Account> accounts = new HashMap<>();
  private final Map<Integer, Long> lastGrantNanos =
      new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Integer, Long> eldest) {
          return size() > MAX_PROGRAMS;
        }
      };

  /** A tenant's bucket and the estimate of its running programs. */
  private record Account(TokenBucket bucket, RunningPrograms programs) {
    void advance(RateLimit limit, long nowNanos) {
      bucket.advance(limit, nowNanos);
      programs.advance(nowNanos);
    }
  }

  /**
   * Creates the buckets of a partition, none of them in use yet.
   *
   * @param extraTokens tokens that a full bucket holds in addition to the tenant's burst
   * @param initialTokens tokens in a new bucket
   * @param heldBefore whether an earlier holder may have lent tokens of these buckets
   */
  PartitionBuckets(double extraTokens, double initialTokens, boolean heldBefore) {
    this.extraTokens = extraTokens;
    this.initialTokens = initialTokens;
    this.heldBefore = heldBefore;
  }

  private Account newAccount(Tenant tenant, long nowNanos) {
    TokenBucket bucket = new TokenBucket(tenant.limit(), extraTokens, initialTokens, nowNanos);
    if (heldBefore) {
      bucket.deductPossibleLoans();
    }
    return new Account(bucket, new RunningPrograms(nowNanos));
  }

  /**
   * Decides on a request for tokens.
   *
   * @param tenant a tenant with a limit
   * @param requested the kind of the request for which the first token is used, according to the
   *     querying node
   * @param programHash the hash of the request's program; a program that has started on another
   *     node is recognized by it
   * @param wanted the most tokens that are useful; one is enough
   */
  TokenDecision decide(
      Tenant tenant, RequestKind requested, int programHash, int wanted, long nowNanos) {
    RequestKind kind = lastGrantNanos.get(programHash) != null ? RequestKind.CONTINUING : requested;
    Account account = accounts.computeIfAbsent(tenant.id(), id -> newAccount(tenant, nowNanos));
    account.advance(tenant.limit(), nowNanos);
    TokenBucket bucket = account.bucket();
    LimitUse use = bucket.use();
    double firstTurnReserve = firstTurnReserve(account, tenant.limit());
    double reserve = kind == RequestKind.FIRST_TURN ? firstTurnReserve : 0;
    if (bucket.tokens() < 1 && kind == RequestKind.CONTINUING) {
      long delayMillis = bucket.lend();
      if (delayMillis >= 0) {
        recordGranted(account, programHash, 1, nowNanos);
        return new TokenDecision(1, false, delayMillis, bucket.tokens(), use);
      }
    }
    if (bucket.tokens() - reserve < 1) {
      bucket.recordDemand(1);
      long retryMillis = retryMillis(kind, bucket, reserve);
      return new TokenDecision(0, false, retryMillis, bucket.tokens(), use);
    }
    int slice = (int) Math.max(1, Math.min(wanted, bucket.tokens() * MAX_SLICE_FRACTION));
    int taken = bucket.take(slice);
    recordGranted(account, programHash, taken, nowNanos);
    boolean firstTurnsAllowed = bucket.tokens() >= firstTurnReserve;
    return new TokenDecision(taken, firstTurnsAllowed, 0, bucket.tokens(), use);
  }

  /**
   * Returns the tokens that must remain in the bucket for other programs after a first turn is
   * admitted. A first turn is always admitted when the bucket is full.
   */
  private static double firstTurnReserve(Account account, RateLimit limit) {
    TokenBucket bucket = account.bucket();
    double reserved =
        bucket.demandExceedsLimit() ? RequestKind.FIRST_TURN.reserve(bucket.capacity()) : 0;
    double needed = account.programs().tokensNeededForAnother(limit.requestsPerSecond());
    return Math.min(bucket.capacity() - 1, Math.max(reserved, needed));
  }

  private static long retryMillis(RequestKind kind, TokenBucket bucket, double reserve) {
    long untilTokens = Math.max(1, bucket.millisUntil(reserve + 1));
    if (kind != RequestKind.FIRST_TURN) {
      return untilTokens;
    }
    return Math.max(
        MIN_FIRST_TURN_RETRY_MILLIS, Math.min(MAX_FIRST_TURN_RETRY_MILLIS, untilTokens));
  }

  private void recordGranted(Account account, int programHash, int tokens, long nowNanos) {
    account.bucket().recordDemand(tokens);
    if (programHash == LimitedRequest.NO_PROGRAM) {
      account.programs().recordGrantedToOthers(tokens);
    } else {
      Long previousNanos = lastGrantNanos.put(programHash, nowNanos);
      account
          .programs()
          .recordGranted(tokens, previousNanos == null ? Long.MAX_VALUE : nowNanos - previousNanos);
    }
  }
}
