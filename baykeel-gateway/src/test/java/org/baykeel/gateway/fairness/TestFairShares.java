package org.baykeel.gateway.fairness;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.baykeel.gateway.telemetry.GatewayEvent;
import org.baykeel.gateway.telemetry.GatewayMetrics;
import org.baykeel.gateway.tenancy.LimitUse;
import org.baykeel.gateway.testing.TestingEventLoop;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class TestFairShares {
  private static final String GROUP = "s/kind";
  private static final int NODES = 20;

  private final TestingEventLoop eventLoop = new TestingEventLoop();
  private final Random random = new Random(1);
  private final GatewayMetrics metrics = new GatewayMetrics();
  private final List<List<Object>> loggedFields = new ArrayList<>();
  private final FairShares shares = create();

  private FairShares create() {
    return new FairShares(
        eventLoop,
        (event, fields) -> {
          assertEquals(GatewayEvent.SHARES_CHANGED, event);
          loggedFields.add(List.of(fields));
        },
        metrics);
  }

  /** A tenant and the outcome of its programs. */
  private static final class TenantLoad {
    private final double multiple;
    private int requested;
    private int admitted;

    TenantLoad(double multiple) {
      this.multiple = multiple;
    }

    double admittedPart() {
      return (double) admitted / requested;
    }
  }

  /**
   * Programs arrive at random nodes. A tenant with multiple 1 asks for 15 per second, so each node
   * sees less than one per second of each tenant.
   */
  private void burst(List<TenantLoad> loads, double share, int seconds) {
    List<FairShares> nodes = IntStream.range(0, NODES).mapToObj(node -> create()).toList();
    for (int millis = 0; millis < seconds * 1_000; millis++) {
      for (TenantLoad load : loads) {
        if (random.nextDouble() < 15 * load.multiple / 1_000) {
          FairShares node = nodes.get(random.nextInt(NODES));
          load.requested++;
          load.admitted +=
              random.nextDouble() < node.shareOf(GROUP, share, new LimitUse(load.multiple)) ? 1 : 0;
        }
      }
      eventLoop.advance(1);
    }
  }

  private static List<TenantLoad> tenants(double... multiples) {
    return Arrays.stream(multiples).mapToObj(TenantLoad::new).toList();
  }

  /**
   * Demand of twice the capacity for eight seconds: six tenants ask for 0.4 of their limits, three
   * for all of them, and one for eight times its usual demand, which is four times its limit.
   */
  @Test
  void tenantsWithinTheirShareAreServedWhileOneSendsEightTimesItsUsualDemand() {
    List<TenantLoad> loads = tenants(0.4, 0.4, 0.4, 0.4, 0.4, 0.4, 1, 1, 1, 4);
    burst(loads, 0.5, 8);
    int requested = loads.stream().mapToInt(load -> load.requested).sum();
    int admitted = loads.stream().mapToInt(load -> load.admitted).sum();
    int within = loads.stream().limit(6).mapToInt(load -> load.admitted).sum();
    int withinAsked = loads.stream().limit(6).mapToInt(load -> load.requested).sum();
    assertTrue(within >= 0.9 * withinAsked, within + " of " + withinAsked);
    assertEquals(0.5, (double) admitted / requested, 0.08, "all tenants together");
    double busy = loads.subList(6, 9).stream().mapToInt(load -> load.admitted).average().orElse(0);
    TenantLoad hot = loads.get(9);
    assertTrue(hot.admitted <= 1.5 * busy, hot.admitted + " against " + busy);
  }

  @ParameterizedTest(name = "all at {0} times their limits")
  @ValueSource(doubles = {0.2, 1, 3})
  void tenantsWithEqualDemandGetEqualShares(double multiple) {
    for (int i = 0; i < 100; i++) {
      assertEquals(0.4, shares.shareOf(GROUP, 0.4, new LimitUse(multiple)), 1e-6);
      eventLoop.advance(50);
    }
  }

  @Test
  void allGetTheSameShareIfNoUseIsKnown() {
    for (int i = 0; i < 100; i++) {
      assertEquals(0.7, shares.shareOf(GROUP, 0.7, LimitUse.UNKNOWN), 1e-6);
      eventLoop.advance(20);
    }
  }

  @ParameterizedTest(name = "share {0} of all programs may start")
  @CsvSource({"1", "0.9", "0.5", "0.1", "0"})
  void noTenantGetsLessThanAQuarterOfTheAverageShare(double share) {
    for (int i = 0; i < 200; i++) {
      double got = shares.shareOf(GROUP, share, new LimitUse(i % 5 == 0 ? 1_000 : 0.1 * (i % 10)));
      assertTrue(got >= GroupShares.MIN_PART_OF_MEAN * share && got <= 1, "got " + got);
    }
  }

  @Test
  void allGetTheSameShareWhileTooFewProgramsWereObserved() {
    for (int i = 0; i < 5; i++) {
      assertEquals(0.5, shares.shareOf(GROUP, 0.5, new LimitUse(i)), 0);
    }
    for (int i = 0; i < 20; i++) {
      shares.shareOf(GROUP, 0.5, new LimitUse(4));
    }
    eventLoop.advance(30_000);
    assertEquals(0.5, shares.shareOf(GROUP, 0.5, new LimitUse(0.1)), 0);
  }

  @Test
  void allProgramsAreAdmittedWhileTheShareIsOne() {
    for (int i = 0; i < 50; i++) {
      assertEquals(1, shares.shareOf(GROUP, 1, new LimitUse(i)), 0);
    }
    assertEquals(List.of(), loggedFields);
  }

  @Test
  void changesOfTheLevelAreLoggedAtMostOncePerSecond() {
    for (int millis = 0; millis < 4_000; millis += 10) {
      shares.shareOf(GROUP, millis < 3_000 ? 0.1 + 0.2 * (millis / 50 % 4) : 1, new LimitUse(1));
      eventLoop.advance(10);
    }
    assertTrue(loggedFields.size() >= 3 && loggedFields.size() <= 5, loggedFields.toString());
    assertEquals(List.of("level", "none"), loggedFields.get(loggedFields.size() - 1).subList(0, 2));
    assertEquals("within", loggedFields.get(0).get(4));
  }

  @Test
  void metricsShowTheSharesOfTenantsWithinAndBeyondTheirLimits() {
    for (int i = 0; i < 60; i++) {
      shares.shareOf(GROUP, 0.5, new LimitUse(i % 3 == 0 ? 0.2 : 2));
    }
    String text = new String(metrics.render(), StandardCharsets.UTF_8);
    assertTrue(text.contains("opening_share_within_limit_thousandths 1000"), text);
    assertTrue(text.contains("opening_share_beyond_limit_thousandths 250"), text);
  }

  /** Sixty programs of small tenants start at another service while one tenant asks at this one. */
  @Test
  void aBurstAtOneServiceDoesNotChangeTheSharesAtAnother() {
    FairShares shares = create();
    for (int i = 0; i < 60; i++) {
      shares.shareOf("idle/kind", 1, new LimitUse(0.1));
    }
    double got = 0;
    for (int i = 0; i < 10; i++) {
      got = shares.shareOf(GROUP, 0.3, new LimitUse(1));
    }
    assertEquals(0.3, got, 1e-6);
  }

  /** All tenants were idle for long, and together ask for more than the capacity. */
  @Test
  void tenantsThatWereIdleForLongGetEqualShares() {
    FairShares shares = create();
    double got = 1;
    for (int i = 0; i < 20; i++) {
      got = shares.shareOf(GROUP, 0.4, new LimitUse(0));
    }
    assertEquals(0.4, got, 1e-3);
  }
}
