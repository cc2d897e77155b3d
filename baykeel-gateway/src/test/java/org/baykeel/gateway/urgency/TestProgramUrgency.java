package org.baykeel.gateway.urgency;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.IntStream;
import org.baykeel.gateway.scheduling.StableHash;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

class TestProgramUrgency {
  private static final long TARGET_MILLIS = 3_000;

  private final ProgramUrgency urgency = new ProgramUrgency();
  private int lastRequest;

  /**
   * Returns the identifier of a request that is not promoted, so that it is ranked by its own kind.
   */
  private String unpromotedId() {
    String id = "r" + ++lastRequest;
    return promoted(id) ? unpromotedId() : id;
  }

  private static boolean promoted(String id) {
    return Math.floorMod(StableHash.of(id), ProgramUrgency.PROMOTED_ONE_IN) == 0;
  }

  private int rank(
      String id, int kind, String program, boolean mayBeFirstTurn, long remaining, long nowMs) {
    RankedRequest request =
        new RankedRequest(id, "route", kind, true, program, mayBeFirstTurn, remaining);
    return urgency.rankOf(request, nowMs * 1_000_000);
  }

  @ParameterizedTest(name = "kind {0}, {1} ms of 3,000 left after {2} ms: {3}")
  @CsvSource({
    "0, 2900, 100, 2",
    "1, 2900, 100, 3",
    "2, 2900, 100, 4",
    "7, 2900, 100, 4",
    "0, 1000, 2000, 2",
    "0, 999, 2001, 0",
    "2, 999, 2001, 1",
    "0, 1, 2999, 0",
    "0, 0, 3000, 8",
    "2, 0, 6000, 8",
    "0, 0, 6001, 9",
    "2, 0, 9000, 9",
  })
  void aProgramThatStartedHereIsRankedByItsRemainingTime(
      int kind, long remaining, long atMillis, int expected) {
    int firstTurnRank = rank(unpromotedId(), kind, "p", true, TARGET_MILLIS, 0);
    assertEquals(5 + Math.min(kind, 2), firstTurnRank);
    assertEquals(expected, rank(unpromotedId(), kind, "p", false, remaining, atMillis));
  }

  @Test
  void aFirstTurnThatIsSentAgainKeepsItsLevel() {
    String id = unpromotedId();
    assertEquals(5, rank(id, 0, "p", true, TARGET_MILLIS, 0));
    assertEquals(5, rank(id, 0, "p", true, TARGET_MILLIS - 40, 40));
  }

  @Test
  void aTurnOfAProgramThatStartedElsewhereIsNotItsFirst() {
    rank(unpromotedId(), 0, "usual", true, TARGET_MILLIS, 0);
    assertEquals(0, rank(unpromotedId(), 0, "moved", true, 900, 0));
    assertEquals(5, rank(unpromotedId(), 0, "short", true, 1_600, 0));
  }

  @Test
  void withoutAnObservedStartNoProgramIsNearItsTargetOrOverdue() {
    assertEquals(2, rank(unpromotedId(), 0, "p", false, 1, 0));
    assertEquals(8, rank(unpromotedId(), 0, "p", false, 0, 100_000));
  }

  @Test
  void subAgentsTakeTheRankOfTheirProgram() {
    rank(unpromotedId(), 1, "p", true, TARGET_MILLIS, 0);
    int mainAgent = rank(unpromotedId(), 1, "p", true, 500, 2_500);
    int subAgent = rank(unpromotedId(), 1, "p", false, 500, 2_500);
    assertEquals(mainAgent, subAgent);
  }

  @ParameterizedTest(name = "kind {0}, stream {1}: {2}")
  @CsvSource({"0, true, 5", "2, true, 7", "0, false, 2", "1, false, 3", "5, false, 4"})
  void aRequestWithoutAProgramHasTheRankOfItsKind(int kind, boolean stream, int expected) {
    RankedRequest request =
        new RankedRequest(unpromotedId(), "route", kind, stream, null, false, RankedRequest.ABSENT);
    assertEquals(expected, urgency.rankOf(request, 0));
  }

  @ParameterizedTest
  @EnumSource(UrgencyLevel.class)
  void aLessUrgentKindNeverRanksBeforeAMoreUrgentOneOfTheSameLevel(UrgencyLevel level) {
    for (int kind = 0; kind < 12; kind++) {
      assertTrue(level.rank(kind) <= level.rank(kind + 1));
      assertTrue(level.rank(kind) <= UrgencyLevel.LEAST_URGENT);
    }
  }

  @Test
  void levelsDoNotOverlap() {
    for (int i = 1; i < UrgencyLevel.values().length; i++) {
      assertTrue(UrgencyLevel.values()[i - 1].rank(9) < UrgencyLevel.values()[i].rank(0));
    }
  }

  @Test
  void aThirdOfALessUrgentKindRanksLikeTheMostUrgentOne() {
    int[] ranks =
        IntStream.range(0, 3_000)
            .map(i -> rank("q" + i, 2, "p" + i, true, TARGET_MILLIS, 0))
            .toArray();
    long promoted = IntStream.of(ranks).filter(rank -> rank == 5).count();
    assertTrue(promoted > 900 && promoted < 1_100, promoted + " of 3000");
    assertEquals(3_000 - promoted, IntStream.of(ranks).filter(rank -> rank == 7).count());
  }
}
