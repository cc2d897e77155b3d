package org.baykeel.gateway.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.baykeel.gateway.directory.Engine;
import org.baykeel.gateway.directory.EngineDirectory;
import org.baykeel.gateway.directory.EngineLoad;
import org.baykeel.gateway.directory.EngineRecord;
import org.baykeel.gateway.fairness.AdmissionShares;
import org.baykeel.gateway.tenancy.Caller;
import org.baykeel.gateway.tenancy.LimitUse;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class TestProgramAdmission {
  private static final long RESPONSE_TARGET_MILLIS = 200;
  private static final long FINISH_TARGET_MILLIS = 3_000;
  private static final int SLOTS = 10;
  private static final long MILLI = 1_000_000;

  private final EngineDirectory engines = new EngineDirectory(1);
  private final List<String> loggedEvents = new ArrayList<>();
  private AdmissionShares shares = AdmissionShares.EVEN;
  private final ProgramAdmission admission =
      new ProgramAdmission(
          engines,
          new Random(1),
          (group, share, use) -> shares.shareOf(group, share, use),
          (event, fields) -> loggedEvents.add(event.name()));
  private long now = 1_000 * MILLI;

  private static AdmissionRequest request(String route, int rank, long responseTargetMillis) {
    return new AdmissionRequest(
        route,
        rank,
        Caller.WITHOUT_KEYS,
        "s",
        responseTargetMillis,
        FINISH_TARGET_MILLIS,
        LimitUse.UNKNOWN);
  }

  private boolean admits(AdmissionRequest request) {
    return admission.decide(request, "r", "p", now).admitted();
  }

  private int admitted(AdmissionRequest request, int requests) {
    int admitted = 0;
    for (int i = 0; i < requests; i++) {
      admitted += admits(request) ? 1 : 0;
    }
    return admitted;
  }

  private void observeWaits(double millis) {
    for (int i = 0; i < 50; i++) {
      admission.observeWait("s", millis, now);
    }
  }

  /** Makes an engine report its number of requests. */
  private void reportLoad(String service, int requests) {
    if (engines.ofService(service).isEmpty()) {
      engines.put(new EngineRecord(service, service, "10.0.0.1", 80, "z", SLOTS, false));
    }
    Engine engine = engines.ofService(service).get(0);
    int running = Math.min(SLOTS, requests);
    engine.load().reported(new EngineLoad(requests - running, running, 0, 0), now);
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 3, 6})
  void noProgramIsRefusedWhileSlotsAreFreeHoweverLongOwnRequestsWaited(int requests) {
    reportLoad("s", requests);
    observeWaits(5_000);
    assertEquals(100, admitted(request("kind", 3, RESPONSE_TARGET_MILLIS), 100));
  }

  @Test
  void withoutFreeSlotsTheWaitDecides() {
    reportLoad("s", 9);
    observeWaits(2_000);
    assertTrue(admitted(request("kind", 0, RESPONSE_TARGET_MILLIS), 100) <= 6);
  }

  /** Before the first programs have finished, the time between events doubles. */
  @Test
  void withoutFreeSlotsALowTokenRateDecidesEvenWithFewObservations() {
    reportLoad("s", 5);
    observeInterEventTimes(30);
    assertEquals(20, admitted(request("kind", 0, RESPONSE_TARGET_MILLIS), 20));
    now += 20 * MILLI;
    reportLoad("s", 9);
    observeInterEventTimes(60);
    assertTrue(admitted(request("kind", 0, RESPONSE_TARGET_MILLIS), 100) <= 6);
  }

  private void observeInterEventTimes(double interEventMillis) {
    for (int i = 0; i < 1_000; i++) {
      engines.performanceOf("s").observeInterEventTime(interEventMillis);
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {60, 80, 110, 140, 400})
  void aLessUrgentRouteNeverGetsMoreThanAnUrgentOneAndIsNotStarved(int waitMillis) {
    observeWaits(waitMillis);
    AdmissionRequest urgent = request("urgent", 0, RESPONSE_TARGET_MILLIS);
    AdmissionRequest other = request("other", 2, RESPONSE_TARGET_MILLIS * 10);
    int urgentAdmitted = 0;
    int otherAdmitted = 0;
    for (int i = 0; i < 400; i++) {
      urgentAdmitted += admits(urgent) ? 1 : 0;
      otherAdmitted += admits(other) ? 1 : 0;
    }
    String counts = urgentAdmitted + " and " + otherAdmitted;
    assertTrue(otherAdmitted <= urgentAdmitted + 1, counts);
    assertTrue(otherAdmitted >= urgentAdmitted / 4 - 1, counts);
    assertTrue(otherAdmitted >= 400 * 0.05 - 1, counts);
  }

  @Test
  void aRouteThatCannotMeetItsTargetStillGetsAQuarterOfTheMostUrgentRoutesShare() {
    observeWaits(120);
    AdmissionRequest urgent = request("urgent", 0, RESPONSE_TARGET_MILLIS * 3);
    AdmissionRequest other = request("other", 1, 20);
    int urgentAdmitted = 0;
    int otherAdmitted = 0;
    for (int i = 0; i < 400; i++) {
      urgentAdmitted += admits(urgent) ? 1 : 0;
      otherAdmitted += admits(other) ? 1 : 0;
    }
    String counts = urgentAdmitted + " and " + otherAdmitted;
    assertTrue(urgentAdmitted > 300, counts);
    assertTrue(otherAdmitted >= urgentAdmitted / 4 - 1 && otherAdmitted < 200, counts);
  }

  @Test
  void theShareFallsAtOnceAndRisesWithinThePredictedDurationOfAProgram() {
    AdmissionRequest request = request("kind", 0, RESPONSE_TARGET_MILLIS);
    reportLoad("s", 9);
    assertTrue(admission.unrestricted(request, now));
    observeWaits(5_000);
    assertFalse(admission.unrestricted(request, now));
    for (int i = 0; i < 100; i++) {
      now += 30 * MILLI;
      reportLoad("s", 9);
      observeWaits(0);
      // Without observations, a program is assumed to take four times the response target.
      if (i < 20) {
        assertFalse(admission.unrestricted(request, now), i + " steps after the fall");
      }
    }
    assertTrue(admission.unrestricted(request, now));
  }

  @Test
  void nodesTogetherAdmitTheShareButNotAllAtTheSameMoment() {
    double share = 0.3;
    List<AdmittedShare> nodes = new ArrayList<>();
    Random random = new Random(5);
    for (int i = 0; i < 77; i++) {
      nodes.add(new AdmittedShare(random.nextDouble()));
    }
    for (int round = 0; round < 20; round++) {
      long admitted = nodes.stream().filter(node -> node.admitNext(share)).count();
      assertTrue(admitted > 77 * share / 2 && admitted < 77 * share * 2, admitted + " of 77");
    }
  }

  @Test
  void aProgramThatCannotFinishInTimeIsRefusedOnlyWhenCapacityIsScarce() {
    AdmissionRequest late =
        new AdmissionRequest(
            "kind", 0, Caller.WITHOUT_KEYS, "s", RESPONSE_TARGET_MILLIS, 20, LimitUse.UNKNOWN);
    assertTrue(admits(late));
    observeWaits(100);
    assertEquals(AdmissionDecision.Cause.TOO_LATE, admission.decide(late, "r", "p", now).cause());
    assertTrue(admitted(request("kind", 0, RESPONSE_TARGET_MILLIS), 10) > 0);
  }

  @Test
  void aFullToolServiceRestrictsTheRouteThatCallsIt() {
    reportLoad("s", 2);
    observeWaits(5_000);
    admission.turnStarted("kind", "line", now);
    admission.toolCalled("line", "tools");
    reportLoad("tools", 10);
    assertFalse(admission.unrestricted(request("kind", 0, RESPONSE_TARGET_MILLIS), now));
    assertTrue(admission.unrestricted(request("other", 0, RESPONSE_TARGET_MILLIS), now));
    now += MILLI;
    reportLoad("tools", 2);
    assertTrue(admission.unrestricted(request("kind", 0, RESPONSE_TARGET_MILLIS), now));
  }

  @Test
  void theShareIsDistributedByAdmissionShares() {
    observeWaits(100);
    shares = (group, share, use) -> use == LimitUse.UNKNOWN ? 0 : 1;
    assertEquals(0, admitted(request("kind", 0, RESPONSE_TARGET_MILLIS), 20));
    shares = (group, share, use) -> 1;
    assertEquals(20, admitted(request("kind", 0, RESPONSE_TARGET_MILLIS), 20));
  }

  @ParameterizedTest
  @ValueSource(ints = {70, 120, 5_000})
  void retryDelaysOfRefusedCallersAreSpread(int waitMillis) {
    observeWaits(waitMillis);
    List<Long> delays = new ArrayList<>();
    while (delays.size() < 200) {
      AdmissionDecision decision =
          admission.decide(request("kind", 0, RESPONSE_TARGET_MILLIS), "r", "p", now);
      if (!decision.admitted()) {
        delays.add(decision.retryMillis());
      }
    }
    long least = delays.stream().mapToLong(Long::longValue).min().orElseThrow();
    long most = delays.stream().mapToLong(Long::longValue).max().orElseThrow();
    assertTrue(least >= 150 && most <= 2_000, least + " to " + most);
    assertTrue(most > least * 2, least + " to " + most);
  }

  @Test
  void refusalsAndChangesOfTheShareAreLogged() {
    AdmissionRequest request = request("kind", 0, RESPONSE_TARGET_MILLIS);
    admits(request);
    assertEquals(List.of(), loggedEvents);
    observeWaits(5_000);
    admitted(request, 3);
    assertTrue(loggedEvents.contains("ADMISSION_CHANGED"), loggedEvents::toString);
    assertTrue(loggedEvents.contains("PROGRAM_REFUSED"), loggedEvents::toString);
    assertEquals(1, loggedEvents.stream().filter("ADMISSION_CHANGED"::equals).count());
  }
}
