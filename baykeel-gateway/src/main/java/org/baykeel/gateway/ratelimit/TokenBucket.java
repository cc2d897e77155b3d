package org.baykeel.gateway.ratelimit;

import org.baykeel.gateway.tenancy.LimitUse;
import org.baykeel.gateway.tenancy.RateLimit;

/**
 * A token bucket that refills at a fixed rate.
 *
 * <p>Invariant: in any period no more tokens are usable than the bucket held at the start of the
 * period plus the rate times the length of the period. A lent token is one that the rate has not
 * supplied yet; it becomes usable only when the rate has supplied it.
 */
final class TokenBucket {
  /**
   * The span over which the demand is averaged; it is long compared with the intervals between
   * requests of a tenant with a low limit.
   */
  private static final double DEMAND_AVERAGING_NANOS = 1e9;

  /**
   * The number of standard deviations by which randomly arriving requests rarely exceed their mean.
   */
  private static final double DEVIATIONS = 2;

  /**
   * The longest time that a request of a running program may wait for its token. It is shorter than
   * the delay of a refused caller that retries. Requests of programs arrive in bursts, after which
   * the rate supplies the missing tokens within such a wait.
   */
  private static final double MAX_WAIT_SECONDS = 0.25;

  private final double extraTokens;
  private RateLimit limit;
  private double tokens;
  private long filledNanos;
  private double demand;

  /**
   * Creates a bucket.
   *
   * @param extraTokens tokens that a full bucket holds in addition to the limit's burst
   * @param tokens the initial tokens, of which at most the capacity is used
   */
  TokenBucket(RateLimit limit, double extraTokens, double tokens, long nowNanos) {
    this.limit = limit;
    this.extraTokens = extraTokens;
    this.tokens = Math.min(capacity(), tokens);
    this.filledNanos = nowNanos;
  }

  /**
   * Returns the tokens in a full bucket. It is at least 1, so a limit without a burst still allows
   * one request at a time.
   */
  double capacity() {
    return Math.max(1, limit.burst()) + extraTokens;
  }

  /** Refills the bucket for the elapsed time and applies a changed limit. */
  void advance(RateLimit current, long nowNanos) {
    double nanos = Math.max(0, nowNanos - filledNanos);
    filledNanos = nowNanos;
    tokens += nanos * 1e-9 * limit.requestsPerSecond();
    limit = current;
    tokens = Math.min(capacity(), tokens);
    demand *= Math.exp(-nanos / DEMAND_AVERAGING_NANOS);
  }

  /** Records requested tokens, whether granted or not. */
  void recordDemand(int count) {
    demand += count;
  }

  /** Takes up to the given number of tokens and returns how many were taken. */
  int take(int count) {
    int taken = (int) Math.max(0, Math.min(count, Math.floor(tokens)));
    tokens -= taken;
    return taken;
  }

  /**
   * Returns the most tokens that the bucket may owe: those that the rate supplies while a request
   * may wait for its token.
   */
  private double maxDebt() {
    return limit.requestsPerSecond() * MAX_WAIT_SECONDS;
  }

  /**
   * Lends a token that the rate will supply soon.
   *
   * @return the delay until the token may be used, in milliseconds; negative if too many tokens are
   *     owed already
   */
  long lend() {
    if (tokens - 1 < -maxDebt()) {
      return -1;
    }
    tokens -= 1;
    return millisUntil(0);
  }

  /**
   * Deducts the tokens that an earlier holder's bucket may have lent before its lease ended, so
   * that the tokens granted by both stay within the rate.
   */
  void deductPossibleLoans() {
    tokens -= maxDebt();
  }

  double tokens() {
    return tokens;
  }

  /**
   * Returns whether the demand of about the last second exceeds the limit's rate by more than
   * chance variation.
   */
  boolean demandExceedsLimit() {
    double allowed = limit.requestsPerSecond() * (DEMAND_AVERAGING_NANOS * 1e-9);
    return demand > allowed + DEVIATIONS * Math.sqrt(allowed);
  }

  /**
   * Returns the demand of about the last second relative to the limit; chance variation rarely
   * raises it above 1.
   */
  LimitUse use() {
    double allowed = limit.requestsPerSecond() * (DEMAND_AVERAGING_NANOS * 1e-9);
    double beyondChance = demand - DEVIATIONS * Math.sqrt(allowed);
    return new LimitUse(Math.max(Math.min(demand, allowed), beyondChance) / allowed);
  }

  /**
   * Returns the time in milliseconds until the bucket holds the given number of tokens, if none is
   * taken before.
   */
  long millisUntil(double wanted) {
    return (long) Math.ceil(Math.max(0, wanted - tokens) / limit.requestsPerSecond() * 1_000);
  }
}
