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
  private static final long TARGET_MILLIS = 200;
  private static final long AIM_MILLIS = 3_000;
  private static final int SLOTS = 10;
  private static final long MILLI = 1_000_000;

  private final EngineDirectory engines = new EngineDirectory(1);
  private final List<String> lines = new ArrayList<>();
  private AdmissionShares shares = AdmissionShares.EVEN;
  private final ProgramAdmission admission =
      new ProgramAdmission(
          engines,
          new Random(1),
          (group, share, use) -> shares.shareOf(group, share, use),
          (event, fields) -> lines.add(event.name()));
  private long now = 1_000 * MILLI;

  private static AdmissionRequest opening(String kind, int rank, long targetMillis) {
    return new AdmissionRequest(
        kind, rank, Caller.WITHOUT_KEYS, "s", targetMillis, AIM_MILLIS, LimitUse.UNKNOWN);
  }

  private boolean admits(AdmissionRequest opening) {
    return admission.decide(opening, "r", "p", now).admitted();
  }

  private int admitted(AdmissionRequest opening, int asked) {
    int admitted = 0;
    for (int i = 0; i < asked; i++) {
      admitted += admits(opening) ? 1 : 0;
    }
    return admitted;
  }

  private void waits(double millis) {
    for (int i = 0; i < 50; i++) {
      admission.observeWait("s", millis, now);
    }
  }

  /** An engine that tells how many requests it has. */
  private void load(String service, int requests) {
    if (engines.ofService(service).isEmpty()) {
      engines.put(new EngineRecord(service, service, "10.0.0.1", 80, "z", SLOTS, false));
    }
    Engine engine = engines.ofService(service).get(0);
    int running = Math.min(SLOTS, requests);
    engine.load().reported(new EngineLoad(requests - running, running, 0, 0), now);
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 3, 6})
  void nobodyIsRefusedWhilePlacesAreFreeHoweverLongOwnRequestsWaited(int requests) {
    load("s", requests);
    waits(5_000);
    assertEquals(100, admitted(opening("kind", 3, TARGET_MILLIS), 100));
  }

  @Test
  void withoutFreePlacesTheWaitDecides() {
    load("s", 9);
    waits(2_000);
    assertTrue(admitted(opening("kind", 0, TARGET_MILLIS), 100) <= 6);
  }

  /** Before the first programs are over, events come twice as late as while there was room. */
  @Test
  void withoutFreePlacesASlowPaceDecidesAlsoWhereTooLittleWasSeen() {
    load("s", 5);
    pace(30);
    assertEquals(20, admitted(opening("kind", 0, TARGET_MILLIS), 20));
    now += 20 * MILLI;
    load("s", 9);
    pace(60);
    assertTrue(admitted(opening("kind", 0, TARGET_MILLIS), 100) <= 6);
  }

  private void pace(double gapMillis) {
    for (int i = 0; i < 1_000; i++) {
      engines.performanceOf("s").observeInterEventTime(gapMillis);
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {60, 80, 110, 140, 400})
  void aLessUrgentKindNeverGetsMoreThanAnUrgentOneAndIsNotStarved(int waitMillis) {
    waits(waitMillis);
    AdmissionRequest urgent = opening("urgent", 0, TARGET_MILLIS);
    AdmissionRequest other = opening("other", 2, TARGET_MILLIS * 10);
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
  void aKindWhoseOwnAimIsOutOfReachStillGetsAQuarterOfTheMostUrgentKindsShare() {
    waits(120);
    AdmissionRequest urgent = opening("urgent", 0, TARGET_MILLIS * 3);
    AdmissionRequest other = opening("other", 1, 20);
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
  void theShareFallsAtOnceAndRisesWithinThePredictedTimeOfAProgram() {
    AdmissionRequest opening = opening("kind", 0, TARGET_MILLIS);
    load("s", 9);
    assertTrue(admission.unrestricted(opening, now));
    waits(5_000);
    assertFalse(admission.unrestricted(opening, now));
    for (int i = 0; i < 100; i++) {
      now += 30 * MILLI;
      load("s", 9);
      waits(0);
      // Until something is known of programs, one is taken to last four wanted answers.
      if (i < 20) {
        assertFalse(admission.unrestricted(opening, now), i + " steps after the fall");
      }
    }
    assertTrue(admission.unrestricted(opening, now));
  }

  @Test
  void nodesTogetherAdmitTheShareAndNotAllAtTheSameMoment() {
    double share = 0.3;
    List<AdmittedShare> nodes = new ArrayList<>();
    Random random = new Random(5);
    for (int i = 0; i < 77; i++) {
      nodes.add(new AdmittedShare(random.nextDouble()));
    }
    for (int round = 0; round < 20; round++) {
      long admitted = nodes.stream().filter(node -> node.admits(share)).count();
      assertTrue(admitted > 77 * share / 2 && admitted < 77 * share * 2, admitted + " of 77");
    }
  }

  @Test
  void aProgramThatCannotEndInItsTimeGivesWayOnlyWhereRoomIsScarce() {
    AdmissionRequest late =
        new AdmissionRequest(
            "kind", 0, Caller.WITHOUT_KEYS, "s", TARGET_MILLIS, 20, LimitUse.UNKNOWN);
    assertTrue(admits(late));
    waits(100);
    assertEquals(AdmissionDecision.Cause.TOO_LATE, admission.decide(late, "r", "p", now).cause());
    assertTrue(admitted(opening("kind", 0, TARGET_MILLIS), 10) > 0);
  }

  @Test
  void aFullToolServiceLeavesNoRoomForTheKindThatCallsIt() {
    load("s", 2);
    waits(5_000);
    admission.turnBegan("kind", "line", now);
    admission.toolUsed("line", "tools");
    load("tools", 10);
    assertFalse(admission.unrestricted(opening("kind", 0, TARGET_MILLIS), now));
    assertTrue(admission.unrestricted(opening("other", 0, TARGET_MILLIS), now));
    now += MILLI;
    load("tools", 2);
    assertTrue(admission.unrestricted(opening("kind", 0, TARGET_MILLIS), now));
  }

  @Test
  void whoGetsTheShareIsDecidedByShares() {
    waits(100);
    shares = (group, share, use) -> use == LimitUse.UNKNOWN ? 0 : 1;
    assertEquals(0, admitted(opening("kind", 0, TARGET_MILLIS), 20));
    shares = (group, share, use) -> 1;
    assertEquals(20, admitted(opening("kind", 0, TARGET_MILLIS), 20));
  }

  @ParameterizedTest
  @ValueSource(ints = {70, 120, 5_000})
  void refusedCallersAreSpreadOverTheTimeUntilThereIsRoom(int waitMillis) {
    waits(waitMillis);
    List<Long> delays = new ArrayList<>();
    while (delays.size() < 200) {
      AdmissionDecision judgement =
          admission.decide(opening("kind", 0, TARGET_MILLIS), "r", "p", now);
      if (!judgement.admitted()) {
        delays.add(judgement.retryMillis());
      }
    }
    long least = delays.stream().mapToLong(Long::longValue).min().orElseThrow();
    long most = delays.stream().mapToLong(Long::longValue).max().orElseThrow();
    assertTrue(least >= 150 && most <= 2_000, least + " to " + most);
    assertTrue(most > least * 2, least + " to " + most);
  }

  @Test
  void refusalsAndChangesOfTheShareAreTold() {
    AdmissionRequest opening = opening("kind", 0, TARGET_MILLIS);
    admits(opening);
    assertEquals(List.of(), lines);
    waits(5_000);
    admitted(opening, 3);
    assertTrue(lines.contains("ADMISSION_CHANGED"), lines::toString);
    assertTrue(lines.contains("PROGRAM_REFUSED"), lines::toString);
    assertEquals(1, lines.stream().filter("ADMISSION_CHANGED"::equals).count());
  }
}
