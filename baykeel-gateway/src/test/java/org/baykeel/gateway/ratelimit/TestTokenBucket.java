package org.baykeel.gateway.ratelimit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.baykeel.gateway.tenancy.RateLimit;
import org.baykeel.gateway.tenancy.Tenant;
import org.baykeel.gateway.testing.TestingTenancy;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class TestTokenBucket {
  private static final long SECOND = 1_000_000_000L;

  @Test
  void grantsItsBurstAndThenItsRate() {
    RateLimit limit = new RateLimit(10, 5);
    TokenBucket bucket = new TokenBucket(limit, 0, 100, 0);
    assertEquals(5, bucket.take(50));
    bucket.advance(limit, SECOND / 2);
    assertEquals(5, bucket.take(50));
    bucket.advance(limit, 60 * SECOND);
    assertEquals(5, bucket.take(50));
  }

  @ParameterizedTest(name = "rate {0}, burst {1}, {2} ms apart")
  @CsvSource({"10, 5, 7", "0.5, 0, 333", "264, 264, 1", "3, 40, 1000", "1000, 1, 3"})
  void neverExceedsBurstAndRate(double rate, double burst, long stepMillis) {
    RateLimit limit = new RateLimit(rate, burst);
    TokenBucket bucket = new TokenBucket(limit, 0, burst, 0);
    long taken = 0;
    for (long now = 0; now < 20 * SECOND; now += stepMillis * 1_000_000) {
      bucket.advance(limit, now);
      taken += bucket.take(3);
      assertTrue(taken <= Math.max(1, burst) + rate * now / SECOND + 1e-6);
    }
    assertTrue(taken > 0);
  }

  @Test
  void holdsExtraTokensBeyondASmallBurst() {
    RateLimit limit = new RateLimit(4, 4);
    assertEquals(12, new TokenBucket(limit, 8, Double.MAX_VALUE, 0).take(50));
    assertEquals(2, new TokenBucket(limit, 8, 2, 0).take(50));
  }

  @Test
  void stoppedClockDoesNotRefill() {
    RateLimit limit = new RateLimit(10, 5);
    TokenBucket bucket = new TokenBucket(limit, 0, 0, SECOND);
    bucket.advance(limit, SECOND);
    bucket.advance(limit, 0);
    assertEquals(0, bucket.take(1));
  }

  @Test
  void lowerLimitRemovesTokensAtOnce() {
    TokenBucket bucket = new TokenBucket(new RateLimit(100, 100), 0, 100, 0);
    bucket.advance(new RateLimit(2, 3), 0);
    assertEquals(3, bucket.take(100));
    bucket.advance(new RateLimit(2, 3), SECOND);
    assertEquals(2, bucket.take(100));
  }

  @Test
  void computesTheTimeUntilTokensAreAvailable() {
    TokenBucket bucket = new TokenBucket(new RateLimit(4, 8), 0, 0, 0);
    assertEquals(250, bucket.millisUntil(1));
    assertEquals(1_000, bucket.millisUntil(4));
  }

  @Test
  void tenantAboveItsLimitStartsProgramsOnlyIfRunningOnesGetTokens() {
    Tenant tenant = TestingTenancy.tenant("t", 20, 20);
    PartitionBuckets buckets = new PartitionBuckets(0, Double.MAX_VALUE, false);
    int firstTurns = 0;
    int continued = 0;
    for (long now = 0; now < 5 * SECOND; now += 10_000_000) {
      firstTurns += buckets.decide(tenant, RequestKind.FIRST_TURN, 0, 1, now).tokens();
      TokenDecision decision = buckets.decide(tenant, RequestKind.CONTINUING, 0, 1, now);
      boolean inTime = now + decision.retryMillis() * 1_000_000 < 5 * SECOND;
      continued += inTime ? decision.tokens() : 0;
    }
    assertTrue(firstTurns + continued <= 120, firstTurns + " " + continued);
    assertTrue(continued > 4 * firstTurns, firstTurns + " " + continued);
  }

  /**
   * Reproduces a program that moved to another node, which mistakes the next turn for the first
   * one.
   */
  @Test
  void startedProgramContinuesOnAnotherNode() {
    Tenant tenant = TestingTenancy.tenant("t", 20, 20);
    PartitionBuckets buckets = new PartitionBuckets(0, Double.MAX_VALUE, false);
    assertEquals(1, buckets.decide(tenant, RequestKind.FIRST_TURN, 7, 1, 0).tokens());
    for (int i = 0; i < 60; i++) {
      buckets.decide(tenant, RequestKind.CONTINUING, 0, 1, 0);
    }
    long now = SECOND / 4;
    assertEquals(0, buckets.decide(tenant, RequestKind.FIRST_TURN, 8, 1, now).tokens());
    assertEquals(1, buckets.decide(tenant, RequestKind.FIRST_TURN, 7, 1, now).tokens());
  }

  @Test
  void tenantBelowItsLimitMayStartAProgramWithItsLastToken() {
    Tenant tenant = TestingTenancy.tenant("t", 20, 20);
    PartitionBuckets buckets = new PartitionBuckets(0, 1, false);
    assertEquals(1, buckets.decide(tenant, RequestKind.FIRST_TURN, 0, 1, 0).tokens());
  }

  @Test
  void refusalCarriesTheRetryDelay() {
    Tenant tenant = TestingTenancy.tenant("t", 10, 1);
    PartitionBuckets buckets = new PartitionBuckets(0, 0, false);
    assertEquals(100, buckets.decide(tenant, RequestKind.CONTINUING, 0, 1, 0).retryMillis());
    assertEquals(200, buckets.decide(tenant, RequestKind.CONTINUING, 0, 1, 0).retryMillis());
    TokenDecision refused = buckets.decide(tenant, RequestKind.CONTINUING, 0, 1, 0);
    assertEquals(0, refused.tokens());
    assertFalse(refused.firstTurnsAllowed());
    assertEquals(300, refused.retryMillis());
    long later = refused.retryMillis() * 1_000_000;
    TokenDecision given = buckets.decide(tenant, RequestKind.CONTINUING, 0, 1, later);
    assertEquals(1, given.tokens());
    assertEquals(0, given.retryMillis());
  }

  /** A refused first turn loses nothing by a retry, so it does not wait for a lent token. */
  @Test
  void firstTurnDoesNotWaitForALentToken() {
    Tenant tenant = TestingTenancy.tenant("t", 10, 1);
    PartitionBuckets buckets = new PartitionBuckets(0, 0, false);
    assertEquals(0, buckets.decide(tenant, RequestKind.FIRST_TURN, 0, 1, 0).tokens());
  }

  @ParameterizedTest(name = "rate {0}, burst {1}, {2} ms apart")
  @CsvSource({"10, 5, 7", "0.5, 0, 333", "264, 264, 1", "3, 40, 100", "43, 43, 5"})
  void lentTokensAreUsableOnlyWhenTheRateSuppliesThem(double rate, double burst, long stepMillis) {
    Tenant tenant = TestingTenancy.tenant("t", rate, burst);
    PartitionBuckets buckets = new PartitionBuckets(0, Double.MAX_VALUE, false);
    List<Long> uses = new ArrayList<>();
    for (long now = 0; now < 20 * SECOND; now += stepMillis * 1_000_000) {
      TokenDecision decision = buckets.decide(tenant, RequestKind.CONTINUING, 0, 1, now);
      if (decision.tokens() > 0) {
        assertEquals(1, decision.tokens());
        uses.add(now + decision.retryMillis() * 1_000_000);
      }
    }
    Collections.sort(uses);
    for (int first = 0; first < uses.size(); first++) {
      for (int last = first; last < uses.size(); last++) {
        double span = (uses.get(last) - uses.get(first)) / 1e9;
        int used = last - first + 1;
        assertTrue(used <= Math.max(1, burst) + rate * span + 1 + 1e-6, used + " in " + span);
      }
    }
  }

  @Test
  void bucketHeldElsewhereDeductsPossibleLoans() {
    Tenant tenant = TestingTenancy.tenant("t", 20, 20);
    PartitionBuckets before = new PartitionBuckets(0, 0, false);
    PartitionBuckets after = new PartitionBuckets(0, 0, true);
    int lent = 0;
    while (before.decide(tenant, RequestKind.CONTINUING, 0, 1, 0).tokens() > 0) {
      lent++;
    }
    assertEquals(5, lent);
    assertEquals(0, after.decide(tenant, RequestKind.CONTINUING, 0, 1, 0).tokens());
    long soon = SECOND / 20;
    TokenDecision next = after.decide(tenant, RequestKind.CONTINUING, 0, 1, soon);
    assertEquals(1, next.tokens());
    assertEquals(250, next.retryMillis());
  }

  @Test
  void sliceIsAFractionOfTheRemainingTokens() {
    Tenant tenant = TestingTenancy.tenant("t", 1, 40);
    PartitionBuckets buckets = new PartitionBuckets(0, Double.MAX_VALUE, false);
    assertEquals(10, buckets.decide(tenant, RequestKind.CONTINUING, 0, 64, 0).tokens());
    assertEquals(7, buckets.decide(tenant, RequestKind.CONTINUING, 0, 64, 0).tokens());
  }
}
