package org.baykeel.gateway.ratelimit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.baykeel.gateway.tenancy.Tenant;
import org.baykeel.gateway.testing.TestingEventLoop;
import org.baykeel.gateway.testing.TestingTenancy;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Simulates two tenants with programs of ten requests and a limit of twice their usual demand. Both
 * have their usual demand for 20 s, then one of them has eight times that for 6 s, then both have
 * their usual demand for 6 s. A program whose first turn is refused retries once, after the delay
 * that it received. Guards against an overload that aborts running programs or affects the other
 * tenant.
 */
class TestLimitUnderLoad {
  private static final int REQUESTS = 10;
  private static final int RETRIES = 1;
  private static final double USUAL_PROGRAMS_PER_SECOND = 3;
  private static final long HOT_FROM_MILLIS = 20_000;
  private static final long HOT_UNTIL_MILLIS = 26_000;
  private static final long END_MILLIS = 32_000;
  private static final int HOT_FACTOR = 8;

  private final TestingEventLoop eventLoop = new TestingEventLoop();
  private Random random = new Random(1);
  private final PartitionBuckets buckets = new PartitionBuckets(8, Double.MAX_VALUE, false);
  private final Load hot = new Load("hot");
  private final Load usual = new Load("usual");
  private long pauseMillis = 250;
  private int lastProgram;
  private long startNanos;

  /** The outcome of the programs of one tenant. */
  private final class Load {
    private final Tenant tenant;
    private int offered;
    private int started;
    private int aborted;
    private int servedWhileHot;

    Load(String name) {
      this(name, 2 * USUAL_PROGRAMS_PER_SECOND * REQUESTS);
    }

    Load(String name, double rate) {
      this.tenant = TestingTenancy.tenant(name, rate, rate);
    }

    void startProgram() {
      offered++;
      sendFirstTurn(++lastProgram, RETRIES);
    }

    private void sendFirstTurn(int program, int remainingRetries) {
      TokenDecision decision = decide(RequestKind.FIRST_TURN, program);
      if (decision.tokens() > 0) {
        started++;
        eventLoop.schedule(pauseMillis, () -> proceed(program, 1));
      } else if (remainingRetries > 0) {
        eventLoop.schedule(
            decision.retryMillis(), () -> sendFirstTurn(program, remainingRetries - 1));
      }
    }

    private void proceed(int program, int request) {
      if (request == REQUESTS) {
        return;
      }
      if (decide(RequestKind.CONTINUING, program).tokens() > 0) {
        eventLoop.schedule(pauseMillis, () -> proceed(program, request + 1));
      } else {
        aborted++;
      }
    }

    private TokenDecision decide(RequestKind kind, int program) {
      TokenDecision decision = buckets.decide(tenant, kind, program, 1, eventLoop.nanoTime());
      if (millis() >= HOT_FROM_MILLIS && millis() < HOT_UNTIL_MILLIS) {
        servedWhileHot += decision.tokens();
      }
      return decision;
    }
  }

  private long millis() {
    return (eventLoop.nanoTime() - startNanos) / 1_000_000;
  }

  private void run(long seed) {
    random = new Random(seed);
    startNanos = eventLoop.nanoTime();
    while (millis() < END_MILLIS) {
      boolean overloaded = millis() >= HOT_FROM_MILLIS && millis() < HOT_UNTIL_MILLIS;
      startAt(hot, USUAL_PROGRAMS_PER_SECOND * (overloaded ? HOT_FACTOR : 1));
      startAt(usual, USUAL_PROGRAMS_PER_SECOND);
      eventLoop.advance(1);
    }
  }

  private void startAt(Load load, double programsPerSecond) {
    if (random.nextDouble() < programsPerSecond / 1_000) {
      load.startProgram();
    }
  }

  @ParameterizedTest(name = "a request every {0} ms, seed {1}")
  @CsvSource({"250, 1", "250, 2", "250, 3", "250, 4", "100, 5", "100, 6", "800, 7", "800, 8"})
  void overloadedTenantLosesNewProgramsNotRunningOnes(long pause, long seed) {
    pauseMillis = pause;
    run(seed);
    assertTrue(hot.started < hot.offered, "started " + hot.started + " of " + hot.offered);
    assertTrue(hot.aborted <= 0.1 * hot.started, "aborted " + hot.aborted + " of " + hot.started);
  }

  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void overloadedTenantStillGetsMostOfItsLimit(long seed) {
    run(seed);
    double limit =
        hot.tenant.limit().requestsPerSecond() * (HOT_UNTIL_MILLIS - HOT_FROM_MILLIS) / 1_000;
    assertTrue(hot.servedWhileHot >= 0.8 * limit, hot.servedWhileHot + " of " + limit);
  }

  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void otherTenantIsNotAffectedByTheOverload(long seed) {
    run(seed);
    assertEquals(usual.offered, usual.started);
    assertEquals(0, usual.aborted);
  }

  /**
   * Demand of half the limit for a minute without a burst, also with limits that few programs
   * reach.
   */
  @ParameterizedTest(name = "{0} programs a second, seed {1}")
  @CsvSource({"6, 1", "3, 2", "1, 3", "0.5, 4", "0.3, 5", "0.3, 6"})
  void tenantWithinItsLimitIsRarelyRefused(double perSecond, long seed) {
    Load load = new Load("steady", 2 * perSecond * REQUESTS);
    steady(load, perSecond, seed);
    int lost = load.offered - load.started + load.aborted;
    assertTrue(lost <= 0.1 * load.offered, lost + " of " + load.offered);
  }

  /** Demand of nine tenths of the limit for a minute without a burst. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void tenantJustBelowItsLimitIsRarelyRefused(long seed) {
    Load load = new Load("steady", 6 * REQUESTS);
    steady(load, 6 * 0.9, seed);
    int lost = load.offered - load.started + load.aborted;
    assertTrue(lost <= 0.1 * load.offered, lost + " of " + load.offered);
  }

  private void steady(Load load, double programsPerSecond, long seed) {
    startNanos = eventLoop.nanoTime();
    random = new Random(seed);
    while (millis() < 60_000) {
      startAt(load, programsPerSecond);
      eventLoop.advance(1);
    }
  }

  /** A single program requests more than the rate, and the burst covers it. */
  @Test
  void programThatFitsIntoAFullBucketStartsAtALowRate() {
    Load load = new Load("slow", 1);
    for (int i = 0; i < 5; i++) {
      load.startProgram();
      eventLoop.advance(20_000);
    }
    assertEquals(5, load.started);
    assertEquals(0, load.aborted);
  }

  @ParameterizedTest(name = "{0} times its limit: {1} to {2}")
  @CsvSource({"0.5, 0.3, 0.7", "1, 0.7, 1", "4, 3, 4.5", "8, 6.5, 9"})
  void demandIsReportedInMultiplesOfTheLimit(double times, double least, double most) {
    Tenant tenant = TestingTenancy.tenant("t", 100, 100);
    double sum = 0;
    int decisions = 0;
    long end = eventLoop.nanoTime() + 8_000_000_000L;
    long settled = eventLoop.nanoTime() + 4_000_000_000L;
    while (eventLoop.nanoTime() < end) {
      if (random.nextDouble() < times / 10) {
        TokenDecision decision =
            buckets.decide(tenant, RequestKind.FIRST_TURN, 0, 1, eventLoop.nanoTime());
        boolean counts = eventLoop.nanoTime() > settled;
        sum += counts ? decision.use().multiple() : 0;
        decisions += counts ? 1 : 0;
      }
      eventLoop.advance(1);
    }
    double mean = sum / decisions;
    assertTrue(mean >= least && mean <= most, "demand " + mean);
  }
}
