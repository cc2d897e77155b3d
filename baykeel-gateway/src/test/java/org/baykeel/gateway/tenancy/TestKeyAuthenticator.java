package org.baykeel.gateway.tenancy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.baykeel.gateway.tenancy.KeyAuthenticator.KeyDecision;
import org.baykeel.gateway.testing.TestingEventLoop;
import org.baykeel.gateway.testing.TestingTenancy;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class TestKeyAuthenticator {
  private static final ApiKey KEY = new ApiKey("key-a");
  private static final ApiKey UNKNOWN = new ApiKey("key-x");

  private final TestingEventLoop eventLoop = new TestingEventLoop();
  private final ConfigurationFreshness freshness = new ConfigurationFreshness(eventLoop);
  private final List<KeyDecision> verdicts = new ArrayList<>();
  private TenantDirectory directory = TestingTenancy.tenants("a");
  private final KeyAuthenticator authenticator =
      TestingTenancy.authenticator(() -> directory, freshness);
  private int checks;

  private KeyDecision judge(ApiKey key) {
    verdicts.clear();
    authenticator.authenticate(key, eventLoop.nanoTime(), verdicts::add);
    return verdicts.isEmpty() ? null : verdicts.get(0);
  }

  private void proveNow() {
    freshness.recordProof(eventLoop.nanoTime());
  }

  @ParameterizedTest(name = "proven {0} ms before the request: accepted {1}")
  @CsvSource({"0, true", "3900, true", "3901, false", "60000, false"})
  void aKeyIsAcceptedOnlyShortlyAfterAProof(long ageMillis, boolean accepted) {
    proveNow();
    eventLoop.advance(ageMillis);
    assertEquals(accepted, judge(KEY) instanceof KeyDecision.Accepted);
    assertEquals(accepted, authenticator.canAcceptKeys());
  }

  @Test
  void withoutAnyProofNothingIsDecided() {
    assertEquals(new KeyDecision.Undecided(-1), judge(KEY));
    assertEquals(new KeyDecision.Undecided(-1), judge(null));
  }

  /** A process that stood still judges by when it read the request, not by when it was proven. */
  @Test
  void aProofThatCameBeforeAFreezeDoesNotCountAfterIt() {
    proveNow();
    eventLoop.advance(6_000);
    assertInstanceOf(KeyDecision.Undecided.class, judge(KEY));
  }

  @Test
  void anOlderProofTakesNothingBack() {
    proveNow();
    long provenNanos = eventLoop.nanoTime();
    freshness.recordProof(provenNanos - 1_000_000_000L);
    assertEquals(0, freshness.ageNanos());
  }

  @Test
  void anUnknownKeyIsRuledOutOnlyByAProofAsOfItsArrival() {
    proveNow();
    eventLoop.advance(500);
    freshness.setCheck(() -> checks++);
    assertEquals(null, judge(UNKNOWN));
    assertEquals(1, checks);
    eventLoop.advance(10);
    proveNow();
    assertInstanceOf(KeyDecision.Rejected.class, verdicts.get(0));
  }

  @Test
  void anUnknownKeyThatTheCheckBringsIsAccepted() {
    proveNow();
    eventLoop.advance(500);
    judge(new ApiKey("key-b"));
    directory = TestingTenancy.tenants("a", "b");
    proveNow();
    assertInstanceOf(KeyDecision.Accepted.class, verdicts.get(0));
  }

  @Test
  void withoutAnAnswerAnUnknownKeyStaysUndecided() {
    proveNow();
    eventLoop.advance(500);
    judge(UNKNOWN);
    eventLoop.advance(250);
    assertEquals(new KeyDecision.Undecided(500), verdicts.get(0));
  }

  /** Several wait; one proof that is too early for the second one makes another check. */
  @Test
  void eachWaitsForAProofOfItsOwnTime() {
    proveNow();
    eventLoop.advance(500);
    freshness.setCheck(() -> checks++);
    long first = eventLoop.nanoTime();
    List<KeyDecision> firstVerdicts = new ArrayList<>();
    List<KeyDecision> secondVerdicts = new ArrayList<>();
    authenticator.authenticate(UNKNOWN, first, firstVerdicts::add);
    eventLoop.advance(5);
    authenticator.authenticate(new ApiKey("key-y"), eventLoop.nanoTime(), secondVerdicts::add);
    freshness.recordProof(first);
    assertEquals(1, firstVerdicts.size());
    assertTrue(secondVerdicts.isEmpty());
    assertEquals(3, checks);
  }

  @Test
  void aKeyThatWasRuledOutOnceNeedsNoSecondCheck() {
    proveNow();
    eventLoop.advance(100);
    judge(UNKNOWN);
    proveNow();
    freshness.setCheck(() -> checks++);
    eventLoop.advance(1_000);
    assertInstanceOf(KeyDecision.Rejected.class, judge(UNKNOWN));
    assertEquals(0, checks);
    eventLoop.advance(1_000);
    assertEquals(null, judge(UNKNOWN));
  }

  @Test
  void aKeyThatANewConfigurationDroppedNeedsNoCheck() {
    proveNow();
    judge(KEY);
    directory = TestingTenancy.tenants("b");
    eventLoop.advance(100);
    assertInstanceOf(KeyDecision.Rejected.class, judge(KEY));
  }

  @Test
  void aRequestWithoutAKeyIsRuledOut() {
    proveNow();
    assertInstanceOf(KeyDecision.Rejected.class, judge(null));
  }

  @Test
  void aKeyIsNotPrinted() {
    assertFalse(new ApiKey("secret-text").toString().contains("secret"));
    assertEquals(new ApiKey("k").toString(), new ApiKey("k").toString());
  }

  @Test
  void keysOfOneTenantMayNotBeAnothers() {
    TenantDirectory.Builder builder = new TenantDirectory.Builder();
    builder.add(TestingTenancy.tenant("a", 0, 0), List.of(KEY));
    assertThrows(
        IllegalArgumentException.class,
        () -> builder.add(TestingTenancy.tenant("b", 0, 0), List.of(KEY)));
  }
}
