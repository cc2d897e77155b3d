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
 * One engine that serves 100 requests of usual size a second, and programs of three turns with an
 * aim of a second: what comes to an end, and how often each group of requests is served.
 */
class TestUrgencyUnderLoad {
  private static final long TARGET_MILLIS = 1_000;
  private static final long DEADLINE_MILLIS = 3_000;
  private static final long WORK_MILLIS = 10;
  private static final int TURNS = 3;
  private static final long BURST_MILLIS = 10_000;

  /** The users' gate: a group is served at least a quarter as often as all together. */
  private static final double LEAST_PART = 0.25;

  private final ProgramUrgency urgency = new ProgramUrgency();
  private final QueueingEngine engine = new QueueingEngine();
  private final Map<String, int[]> servedAndSent = new TreeMap<>();
  private final Random random = new Random(1);
  private final List<Load> loads = new ArrayList<>();
  private long nowMillis;
  private int lastProgram;
  private int programsStartedInTime;
  private int programsInTime;

  /** Programs of a group that begin at random, so many milliseconds apart on average. */
  private record Load(String group, int kind, long everyMillis, long workMillis) {}

  private void program(Load load, String program, long begunMillis, int turn) {
    long sentMillis = nowMillis;
    long left = Math.max(0, begunMillis + TARGET_MILLIS - nowMillis);
    RankedRequest request =
        new RankedRequest(
            program + "." + turn, load.group(), load.kind(), true, program, turn == 0, left);
    int[] counts = servedAndSent.computeIfAbsent(load.group(), name -> new int[2]);
    counts[1]++;
    engine.accept(
        urgency.rankOf(request, nowMillis * 1_000_000),
        sentMillis + DEADLINE_MILLIS,
        load.workMillis(),
        () -> {
          counts[0]++;
          if (turn == 0 && nowMillis <= begunMillis + TARGET_MILLIS / 2) {
            programsStartedInTime++;
          }
          if (turn + 1 < TURNS) {
            program(load, program, begunMillis, turn + 1);
          } else if (nowMillis <= begunMillis + TARGET_MILLIS) {
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
          program(load, "p" + lastProgram++, nowMillis, 0);
        }
      }
    }
  }

  private double served(String group) {
    int[] counts = servedAndSent.get(group);
    return (double) counts[0] / counts[1];
  }

  private double servedOfAll() {
    int served = servedAndSent.values().stream().mapToInt(counts -> counts[0]).sum();
    int asked = servedAndSent.values().stream().mapToInt(counts -> counts[1]).sum();
    return (double) served / asked;
  }

  private void assertNotStarved(String group) {
    assertTrue(
        served(group) >= LEAST_PART * servedOfAll(),
        group + " " + served(group) + ", all " + servedOfAll());
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

  private int rank(String program, String id, boolean mayOpen, long left, long atMillis) {
    return urgency.rankOf(
        new RankedRequest(id, "route", 1, true, program, mayOpen, left), atMillis * 1_000_000);
  }

  /**
   * Three times what the engine can serve, of one kind. A program whose first turn was served with
   * half of its time left comes to its end in the rest.
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

  /** Twice what the engine can serve of the most urgent kind, half as much of the least urgent. */
  @Test
  void aBurstOfAnUrgentKindForTenSecondsDoesNotStarveALessUrgentOne() {
    loads.add(new Load("urgent", 0, 15, WORK_MILLIS));
    loads.add(new Load("patient", 2, 60, WORK_MILLIS));
    run();
    assertNotStarved("patient");
    assertTrue(served("urgent") >= served("patient"), servedAndSent.toString());
  }

  /** The same with nothing of it under way: single requests without a program. */
  @Test
  void aBurstOfUrgentSingleRequestsForTenSecondsDoesNotStarveALessUrgentKind() {
    for (; nowMillis < BURST_MILLIS + DEADLINE_MILLIS; nowMillis++) {
      engine.advanceTo(nowMillis);
      if (nowMillis < BURST_MILLIS && arrivesNow(5)) {
        single("urgent", 0);
      }
      if (nowMillis < BURST_MILLIS && arrivesNow(20)) {
        single("patient", 2);
      }
    }
    assertNotStarved("patient");
    assertTrue(served("urgent") >= served("patient"));
  }

  private void single(String group, int kind) {
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

  /** One tenant begins eight times as many programs as another of the same rank. */
  @Test
  void aTenantWithEightTimesTheLoadOfAnotherDoesNotStarveIt() {
    loads.add(new Load("loud", 1, 10, WORK_MILLIS));
    loads.add(new Load("quiet", 1, 80, WORK_MILLIS));
    run();
    assertNotStarved("quiet");
  }

  /** Requests of four times the usual work among three times the room of usual ones. */
  @Test
  void largeRequestsAreServedLikeOthers() {
    loads.add(new Load("usual", 1, 15, WORK_MILLIS));
    loads.add(new Load("large", 1, 120, 4 * WORK_MILLIS));
    run();
    assertNotStarved("large");
  }

  /** Within twice the room, the later turns of a program are served at least like its first. */
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
