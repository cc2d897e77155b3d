package org.baykeel.gateway.ratelimit;

import org.baykeel.gateway.tenancy.LimitUse;
import org.baykeel.gateway.tenancy.RateLimit;

/**
 * Tokens that fill up at a rate.
 *
 * <p>Invariant: in any span of time no more tokens may be used than the bucket held at its begin
 * plus the rate times the span. A token that is lent is one that the rate has not brought yet; it
 * may be used only when it has.
 */
final class TokenBucket {
  /** The span over which the demand is averaged: long against the gaps of a slow tenant. */
  private static final double DEMAND_AVERAGING_NANOS = 1e9;

  /** Requests that come by chance pass their mean by this many standard deviations rarely. */
  private static final double DEVIATIONS = 2;

  /**
   * How long a request of a program that runs may wait for its token: less than a refused caller
   * loses by coming back. Requests of programs come in clumps, after which the rate brings what the
   * bucket lacks within such a wait.
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
   * @param extraTokens what it holds beyond the limit's burst when it is full
   * @param tokens what it holds now; no more than its capacity counts
   */
  TokenBucket(RateLimit limit, double extraTokens, double tokens, long nowNanos) {
    this.limit = limit;
    this.extraTokens = extraTokens;
    this.tokens = Math.min(capacity(), tokens);
    this.filledNanos = nowNanos;
  }

  /** What it holds when it is full; without a burst still one request may run at a time. */
  double capacity() {
    return Math.max(1, limit.burst()) + extraTokens;
  }

  /** Fills the bucket for the time that passed and takes a changed limit into account. */
  void advance(RateLimit current, long nowNanos) {
    double nanos = Math.max(0, nowNanos - filledNanos);
    filledNanos = nowNanos;
    tokens += nanos * 1e-9 * limit.requestsPerSecond();
    limit = current;
    tokens = Math.min(capacity(), tokens);
    demand *= Math.exp(-nanos / DEMAND_AVERAGING_NANOS);
  }

  /** Notes that tokens were asked for, given or not. */
  void recordDemand(int count) {
    demand += count;
  }

  /** Takes tokens, no more than there are. */
  int take(int count) {
    int taken = (int) Math.max(0, Math.min(count, Math.floor(tokens)));
    tokens -= taken;
    return taken;
  }

  /** The most that it may owe: what the rate brings while a request may wait for its token. */
  private double maxDebt() {
    return limit.requestsPerSecond() * MAX_WAIT_SECONDS;
  }

  /**
   * Lends a token that the rate will bring soon.
   *
   * @return when it may be used, in milliseconds from now; negative if too many are owed
   */
  long lend() {
    if (tokens - 1 < -maxDebt()) {
      return -1;
    }
    tokens -= 1;
    return millisUntil(0);
  }

  /**
   * Owes what the bucket of another holder may have lent before it ended, so that what both give
   * stays within the rate.
   */
  void deductPossibleLoans() {
    tokens -= maxDebt();
  }

  double tokens() {
    return tokens;
  }

  /** Whether more was asked for lately than the limit allows for long, chance set aside. */
  boolean demandExceedsLimit() {
    double allowed = limit.requestsPerSecond() * (DEMAND_AVERAGING_NANOS * 1e-9);
    return demand > allowed + DEVIATIONS * Math.sqrt(allowed);
  }

  /** What was asked for lately; chance brings it above the limit rarely. */
  LimitUse use() {
    double allowed = limit.requestsPerSecond() * (DEMAND_AVERAGING_NANOS * 1e-9);
    double certain = demand - DEVIATIONS * Math.sqrt(allowed);
    return new LimitUse(Math.max(Math.min(demand, allowed), certain) / allowed);
  }

  /** When the bucket will hold so many tokens, if none is taken until then. */
  long millisUntil(double wanted) {
    return (long) Math.ceil(Math.max(0, wanted - tokens) / limit.requestsPerSecond() * 1_000);
  }
}
