package org.baykeel.gateway.urgency;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * One engine serves 100 requests of usual size per second; programs have three turns and a finish
 * target one second after their start. Guards against programs that start but don't finish in time,
 * and against a group of requests that starves.
 */
class TestUrgencyUnderLoad {
  private static final long TARGET_MILLIS = 1_000;
  private static final long DEADLINE_MILLIS = 3_000;
  private static final long WORK_MILLIS = 10;
  private static final int TURNS = 3;
  private static final long BURST_MILLIS = 10_000;

  /**
   * Requirement of the users: the fraction of a group's requests that is served is at least a
   * quarter of the fraction that is served of all groups together.
   */
  private static final double MIN_FRACTION = 0.25;

  private final ProgramUrgency urgency = new ProgramUrgency();
  private final QueueingEngine engine = new QueueingEngine();
  private final Map<String, int[]> servedAndSent = new TreeMap<>();
  private final Random random = new Random(1);
  private final List<Load> loads = new ArrayList<>();
  private long nowMillis;
  private int lastProgram;
  private int programsStartedInTime;
  private int programsInTime;

  /** Programs of a group that start at random with a given mean interval. */
  private record Load(String group, int kind, long everyMillis, long workMillis) {}

  private void sendTurn(Load load, String program, long startedMillis, int turn) {
    long sentMillis = nowMillis;
    long remaining = Math.max(0, startedMillis + TARGET_MILLIS - nowMillis);
    RankedRequest request =
        new RankedRequest(
            program + "." + turn, load.group(), load.kind(), true, program, turn == 0, remaining);
    int[] counts = servedAndSent.computeIfAbsent(load.group(), name -> new int[2]);
    counts[1]++;
    engine.accept(
        urgency.rankOf(request, nowMillis * 1_000_000),
        sentMillis + DEADLINE_MILLIS,
        load.workMillis(),
        () -> {
          counts[0]++;
          if (turn == 0 && nowMillis <= startedMillis + TARGET_MILLIS / 2) {
            programsStartedInTime++;
          }
          if (turn + 1 < TURNS) {
            sendTurn(load, program, startedMillis, turn + 1);
          } else if (nowMillis <= startedMillis + TARGET_MILLIS) {
            programsInTime++;
          }
        });
  }

  private boolean arrivesNow(long everyMillis) {
    return random.nextDouble() * everyMillis < 1;
  }

  private void run() {
    for (; nowMillis < BURST_MILLIS + DEADLINE_MILLIS; nowMillis++) {
      engine.advanceTo(nowMillis);
      for (Load load : loads) {
        if (nowMillis < BURST_MILLIS && arrivesNow(load.everyMillis())) {
          sendTurn(load, "p" + lastProgram++, nowMillis, 0);
        }
      }
    }
  }

  private double servedFraction(String group) {
    int[] counts = servedAndSent.get(group);
    return (double) counts[0] / counts[1];
  }

  private double servedFractionOfAll() {
    int served = servedAndSent.values().stream().mapToInt(counts -> counts[0]).sum();
    int sent = servedAndSent.values().stream().mapToInt(counts -> counts[1]).sum();
    return (double) served / sent;
  }

  private void assertNotStarved(String group) {
    assertTrue(
        servedFraction(group) >= MIN_FRACTION * servedFractionOfAll(),
        group + " " + servedFraction(group) + ", all " + servedFractionOfAll());
  }

  @Test
  void aTurnThatCanMeetItsTargetRanksBeforeOneThatMissedIt() {
    List<String> order = new ArrayList<>();
    rank("late", "late.0", true, TARGET_MILLIS, 0);
    rank("timely", "timely.0", true, TARGET_MILLIS, 900);
    int late = rank("late", "late.1", false, 0, 1_400);
    int timely = rank("timely", "timely.1", false, 500, 1_400);
    engine.accept(late, 9_000, WORK_MILLIS, () -> order.add("late"));
    engine.accept(timely, 9_000, WORK_MILLIS, () -> order.add("timely"));
    engine.drain().forEach(Runnable::run);
    assertEquals(List.of("timely", "late"), order);
  }

  private int rank(
      String program, String id, boolean mayBeFirstTurn, long remaining, long atMillis) {
    return urgency.rankOf(
        new RankedRequest(id, "route", 1, true, program, mayBeFirstTurn, remaining),
        atMillis * 1_000_000);
  }

  /**
   * Demand is three times the capacity, of one kind. Of the programs whose first turn was served
   * with at least half of their time left, nine in ten must finish in the rest.
   */
  @Test
  void underThreeTimesTheCapacityProgramsThatStartInTimeFinishInTime() {
    loads.add(new Load("one", 1, 10, WORK_MILLIS));
    run();
    assertTrue(programsStartedInTime > 0);
    assertTrue(
        programsInTime >= 0.9 * programsStartedInTime,
        programsInTime + " of " + programsStartedInTime);
  }

  /**
   * Demand of the most urgent kind is twice the capacity; demand of the least urgent kind is half
   * the capacity.
   */
  @Test
  void aBurstOfAnUrgentKindForTenSecondsDoesNotStarveALessUrgentOne() {
    loads.add(new Load("urgent", 0, 15, WORK_MILLIS));
    loads.add(new Load("ordinary", 2, 60, WORK_MILLIS));
    run();
    assertNotStarved("ordinary");
    assertTrue(servedFraction("urgent") >= servedFraction("ordinary"), servedAndSent.toString());
  }

  /** As above without programs in progress: single requests without a program. */
  @Test
  void aBurstOfUrgentSingleRequestsForTenSecondsDoesNotStarveALessUrgentKind() {
    for (; nowMillis < BURST_MILLIS + DEADLINE_MILLIS; nowMillis++) {
      engine.advanceTo(nowMillis);
      if (nowMillis < BURST_MILLIS && arrivesNow(5)) {
        sendSingle("urgent", 0);
      }
      if (nowMillis < BURST_MILLIS && arrivesNow(20)) {
        sendSingle("ordinary", 2);
      }
    }
    assertNotStarved("ordinary");
    assertTrue(servedFraction("urgent") >= servedFraction("ordinary"));
  }

  private void sendSingle(String group, int kind) {
    RankedRequest request =
        new RankedRequest(
            "s" + lastProgram++, group, kind, false, null, false, RankedRequest.ABSENT);
    int[] counts = servedAndSent.computeIfAbsent(group, name -> new int[2]);
    counts[1]++;
    engine.accept(
        urgency.rankOf(request, nowMillis * 1_000_000),
        nowMillis + DEADLINE_MILLIS,
        WORK_MILLIS,
        () -> counts[0]++);
  }

  /** One tenant starts eight times as many programs as another of the same rank. */
  @Test
  void aTenantWithEightTimesTheLoadOfAnotherDoesNotStarveIt() {
    loads.add(new Load("heavy", 1, 10, WORK_MILLIS));
    loads.add(new Load("light", 1, 80, WORK_MILLIS));
    run();
    assertNotStarved("light");
  }

  /**
   * Large requests of four times the usual work among usual ones, at a demand of three times the
   * capacity.
   */
  @Test
  void largeRequestsAreServedLikeOthers() {
    loads.add(new Load("usual", 1, 15, WORK_MILLIS));
    loads.add(new Load("large", 1, 120, 4 * WORK_MILLIS));
    run();
    assertNotStarved("large");
  }

  /**
   * At twice the capacity, the second turn of a program is served despite the programs that start
   * after it.
   */
  @Test
  void aLaterTurnDoesNotWaitForProgramsThatStartAfterIt() {
    loads.add(new Load("one", 1, 15, WORK_MILLIS));
    String session = "session";
    rank(session, "session.0", true, TARGET_MILLIS, 0);
    boolean[] served = new boolean[1];
    engine.accept(
        rank(session, "session.1", false, TARGET_MILLIS - 100, 100),
        DEADLINE_MILLIS,
        WORK_MILLIS,
        () -> served[0] = true);
    run();
    assertTrue(served[0]);
  }
}
