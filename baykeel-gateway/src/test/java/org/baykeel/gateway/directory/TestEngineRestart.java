package org.baykeel.gateway.directory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * An engine restarts under its identifier, and messages of both incarnations arrive in any order.
 */
class TestEngineRestart {
  private static final EngineId ID = new EngineId("e");
  private static final long START_MILLIS = 1_700_000_000_000L;
  private static final long RESTART_MILLIS = START_MILLIS + 12_345;
  private static final long NO_OUTAGE = 0;
  private static final long NOW = 5_000_000_000L;
  private static final List<PromptPart> PROMPT = List.of(new PromptPart("a1", 800));

  private final EngineDirectory directory = new EngineDirectory(1_900_000_000L);
  private final List<String> restarts = new ArrayList<>();
  private final List<Engine> suspected = new ArrayList<>();

  @BeforeEach
  void listen() {
    directory.onRestart(
        (id, before, now, source) ->
            restarts.add(id.value() + " " + before + " " + now + " " + source));
    directory.onSuspicion(suspected::add);
  }

  private static EngineRecord entry(long startMillis, int slots, long coldMillis) {
    return new EngineRecord(
        ID.value(), "s", "10.0.0.1", 80, "z", slots, false, coldMillis, startMillis);
  }

  private Engine put(long startMillis) {
    directory.put(entry(startMillis, 4, 0), NOW);
    return directory.find(ID);
  }

  /** Returns an engine with observations of every kind. */
  private Engine engineWithObservations() {
    directory.put(entry(START_MILLIS, 4, 3_000), NOW);
    Engine engine = directory.find(ID);
    engine.cachedPrefixes().add(PROMPT);
    engine.load().reported(new EngineLoad(7, 4, 900, 1_000), NOW);
    engine.failed(NOW);
    engine.failed(NOW);
    engine.observeWait(400, NOW);
    engine.observeInterEventTime(90);
    engine.requestStarted(NOW);
    return engine;
  }

  private void assertNoObservations(Engine engine) {
    assertFalse(engine.cachedPrefixes().contains("a1"));
    assertFalse(engine.load().known(NOW));
    assertEquals(EngineHealth.HEALTHY, engine.health(NOW));
    assertEquals(0, engine.waitMillis(NOW));
    assertEquals(engine.performance().interEventMillis(), engine.interEventMillis());
    assertEquals(0, engine.inFlight());
  }

  @Test
  void theColdTimeOfALaterIncarnationIsThatOfItsEntry() {
    engineWithObservations();
    Engine present = put(RESTART_MILLIS);
    assertFalse(present.cold(NOW));
    assertEquals(Long.MAX_VALUE, present.warmForNanos(NOW));
  }

  @ParameterizedTest(name = "cold according to its entry: {0}")
  @ValueSource(booleans = {true, false})
  void anIncarnationFoundByAReportIsColdUntilItsEntryArrives(boolean cold) {
    put(START_MILLIS);
    directory.adoptStartTime(ID, RESTART_MILLIS, NOW);
    Engine present = directory.find(ID);
    assertTrue(present.cold(NOW));
    directory.put(entry(START_MILLIS, 4, 0), NOW);
    assertTrue(present.cold(NOW));
    directory.put(entry(RESTART_MILLIS, 4, cold ? 9_000 : 0), NOW);
    assertEquals(cold, present.cold(NOW));
  }

  @Test
  void anEngineWithoutAnEntryDoesNotStayColdForever() {
    put(START_MILLIS);
    directory.adoptStartTime(ID, RESTART_MILLIS, NOW);
    assertTrue(directory.find(ID).cold(NOW + 2_999_000_000L));
    assertFalse(directory.find(ID).cold(NOW + 3_000_000_000L));
  }

  @ParameterizedTest
  @EnumSource(EngineRestartListener.Source.class)
  void aLaterIncarnationStartsWithoutObservations(EngineRestartListener.Source source) {
    Engine former = engineWithObservations();
    if (source == EngineRestartListener.Source.ENTRY) {
      put(RESTART_MILLIS);
    } else {
      assertTrue(directory.adoptStartTime(ID, RESTART_MILLIS, NOW));
    }
    Engine present = directory.find(ID);
    assertNotSame(former, present);
    assertTrue(former.removed());
    assertFalse(present.removed());
    assertNoObservations(present);
    assertEquals(List.of(present), directory.ofService("s"));
    assertEquals(List.of("e " + START_MILLIS + " " + RESTART_MILLIS + " " + source), restarts);
  }

  @Test
  void theSameIncarnationKeepsItsObservations() {
    Engine known = engineWithObservations();
    directory.put(entry(START_MILLIS, 9, 0), NOW);
    assertSame(known, directory.find(ID));
    assertEquals(9, known.record().slots());
    assertTrue(known.cachedPrefixes().contains("a1"));
    assertEquals(List.of(), restarts);
  }

  @Test
  void anEntryOfAnEarlierIncarnationChangesNothing() {
    Engine present = put(RESTART_MILLIS);
    directory.put(entry(START_MILLIS, 9, 700), NOW);
    directory.replaceAll(List.of(entry(START_MILLIS, 9, 700)), NO_OUTAGE, NOW);
    assertSame(present, directory.find(ID));
    assertEquals(entry(RESTART_MILLIS, 4, 0), present.record());
    assertFalse(present.cold(NOW));
  }

  @Test
  void anEntryOfAnEarlierIncarnationDoesNotEndALapse() {
    put(RESTART_MILLIS);
    directory.remove(ID.value(), NOW + 1_000_000_000, NOW);
    directory.put(entry(START_MILLIS, 4, 0), NOW);
    directory.expireLapsed(NOW + 1_000_000_000);
    assertNull(directory.find(ID));
  }

  @Test
  void theEntryOfAnIncarnationFoundByAReportIsAdoptedWithoutAnotherRestart() {
    engineWithObservations();
    directory.adoptStartTime(ID, RESTART_MILLIS, NOW);
    Engine present = directory.find(ID);
    present.cachedPrefixes().add(PROMPT);
    directory.put(entry(START_MILLIS, 4, 0), NOW);
    directory.put(entry(RESTART_MILLIS, 9, 2_000), NOW);
    assertSame(present, directory.find(ID));
    assertEquals(9, present.record().slots());
    assertTrue(present.cold(NOW));
    assertTrue(present.cachedPrefixes().contains("a1"));
    assertEquals(1, restarts.size());
  }

  @Test
  void aReportOfAnEarlierIncarnationIsRejected() {
    Engine present = put(RESTART_MILLIS);
    assertFalse(directory.adoptStartTime(ID, START_MILLIS, NOW));
    assertTrue(directory.adoptStartTime(ID, RESTART_MILLIS, NOW));
    assertTrue(directory.adoptStartTime(ID, 0, NOW));
    assertFalse(directory.adoptStartTime(new EngineId("other"), START_MILLIS, NOW));
    assertSame(present, directory.find(ID));
  }

  @Test
  void aStartTimeThatArrivesLateBelongsToTheKnownIncarnation() {
    Engine known = put(0);
    assertTrue(directory.adoptStartTime(ID, START_MILLIS, NOW));
    directory.put(entry(0, 9, 0), NOW);
    assertSame(known, directory.find(ID));
    assertEquals(START_MILLIS, known.record().startMillis());
    assertTrue(directory.adoptStartTime(ID, RESTART_MILLIS, NOW));
    assertNotSame(known, directory.find(ID));
  }

  @Test
  void failuresOfAFormerIncarnationMakeNoEngineSuspect() {
    Engine former = put(START_MILLIS);
    former.failed(NOW);
    Engine present = put(RESTART_MILLIS);
    former.failed(NOW);
    former.failed(NOW);
    assertEquals(List.of(), suspected);
    assertEquals(EngineHealth.HEALTHY, present.health(NOW));
  }

  @Test
  void aSuspicionOfPeersExpires() {
    Engine present = put(RESTART_MILLIS);
    present.suspectedByPeer(NOW);
    assertEquals(EngineHealth.SUSPECT, present.health(NOW));
    assertEquals(EngineHealth.HEALTHY, present.health(NOW + 1_500_000_000));
  }

  @Test
  void anEngineOfAnotherServiceIsADifferentEngine() {
    Engine former = engineWithObservations();
    directory.put(
        new EngineRecord(ID.value(), "t", "10.0.0.1", 80, "z", 4, false, 0, START_MILLIS), NOW);
    assertTrue(former.removed());
    assertEquals(List.of(), directory.ofService("s"));
    assertEquals(List.of(directory.find(ID)), directory.ofService("t"));
    assertNoObservations(directory.find(ID));
  }
}
