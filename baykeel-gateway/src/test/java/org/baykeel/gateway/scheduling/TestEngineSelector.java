package org.baykeel.gateway.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import java.util.Random;
import java.util.Set;
import org.baykeel.gateway.directory.CachedPrefixes;
import org.baykeel.gateway.directory.Engine;
import org.baykeel.gateway.directory.EngineDirectory;
import org.baykeel.gateway.directory.EngineRecord;
import org.baykeel.gateway.directory.PromptPart;
import org.baykeel.gateway.scheduling.EngineSelector.Criteria;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class TestEngineSelector {
  private static final List<PromptPart> LONG_PROMPT =
      List.of(
          new PromptPart("shared", 12_000),
          new PromptPart("turn1", 1_500),
          new PromptPart("turn2", 1_500));

  private final EngineDirectory directory = new EngineDirectory(1);
  private final EngineSelector selector = new EngineSelector(directory, "z", new Random(1));

  private void engines(int count) {
    for (int i = 0; i < count; i++) {
      directory.put(new EngineRecord("e" + i, "s", "10.0.0." + i, 80, "z", 8, false));
    }
  }

  private Engine select(List<PromptPart> prompt, String program) {
    return selector.select(new Criteria("s", prompt, program, true), Set.of(), 0);
  }

  private Engine engine(String id) {
    return directory.ofService("s").stream()
        .filter(engine -> engine.record().id().equals(id))
        .findFirst()
        .orElseThrow();
  }

  @Test
  void aConversationStaysWhereItsPromptIsCached() {
    engines(4);
    engine("e2").cachedPrefixes().add(LONG_PROMPT);
    assertEquals("e2", select(LONG_PROMPT, "any").record().id());
  }

  @Test
  void anotherNodeFindsTheHomeEngineOfAProgramItNeverSaw() {
    engines(6);
    EngineDirectory elsewhere = new EngineDirectory(1);
    for (Engine engine : directory.ofService("s")) {
      elsewhere.put(engine.record());
    }
    EngineSelector other = new EngineSelector(elsewhere, "other zone", new Random(2));
    for (int i = 0; i < 20; i++) {
      String program = "p" + i;
      String home = select(LONG_PROMPT, program).record().id();
      Criteria criteria = new Criteria("s", LONG_PROMPT, program, true);
      assertEquals(home, other.select(criteria, Set.of(), 0).record().id());
    }
  }

  @Test
  void aSlowEngineIsAvoidedDespiteItsCachedPrefix() {
    engines(2);
    engine("e0").cachedPrefixes().add(LONG_PROMPT);
    for (int i = 0; i < 100; i++) {
      engine("e0").observeInterEventTime(200);
      engine("e1").observeInterEventTime(35);
    }
    assertEquals("e1", select(LONG_PROMPT, null).record().id());
  }

  @Test
  void aGrownPartCountsAsCachedOnlyUpToItsCachedLength() {
    engines(1);
    CachedPrefixes cached = engine("e0").cachedPrefixes();
    cached.add(List.of(new PromptPart("shared", 12_000), new PromptPart("own", 1_000)));
    cached.extend(List.of(new PromptPart("own", 1_000)), 200);
    List<PromptPart> grown =
        List.of(new PromptPart("shared", 12_000), new PromptPart("own", 3_000));
    assertEquals(1_800, cached.uncachedTokens(grown));
  }

  @Test
  void drainingAndExcludedEnginesGetNoRequests() {
    engines(1);
    directory.put(new EngineRecord("d", "s", "10.0.0.9", 80, "z", 8, true));
    Criteria criteria = new Criteria("s", List.of(), null, true);
    assertNull(selector.select(criteria, Set.of("e0"), 0));
  }

  @Test
  void anEngineThatFailedIsUsedOnlyIfThereIsNoOther() {
    engines(2);
    engine("e0").failed(0);
    assertEquals("e1", select(LONG_PROMPT, null).record().id());
    engine("e1").failed(0);
    assertNotEquals(null, select(LONG_PROMPT, null));
  }

  @ParameterizedTest(name = "{0} times {1} failures, {2} ms after the last, repeatable {3}: {4}")
  @CsvSource({
    "1, 1, 100, true, e1",
    "1, 1, 300, true, e0",
    "1, 1, 300, false, e1",
    "1, 1, 1900, false, e1",
    "1, 1, 2100, false, e0",
    "1, 2, 1900, false, e1",
    "1, 2, 2100, false, e0",
    "2, 2, 2100, true, e0",
    "2, 2, 2100, false, e1",
    "2, 2, 4100, false, e0",
    "3, 2, 7900, false, e1",
    "3, 2, 8100, false, e0",
    "9, 2, 8100, false, e0",
  })
  void anEngineThatFailsRepeatedlyGetsNoRequestsThatMayRunOnlyOnce(
      int episodes, int inARow, long laterMillis, boolean repeatable, String expected) {
    engines(2);
    engine("e1").requestStarted(0);
    long now = 0;
    for (int i = 0; i < episodes; i++) {
      now += 1_000_000_000L;
      engine("e0").succeeded();
      for (int j = 0; j < inARow; j++) {
        engine("e0").failed(now);
      }
    }
    Criteria criteria = new Criteria("s", List.of(), null, repeatable);
    Engine chosen = selector.select(criteria, Set.of(), now + laterMillis * 1_000_000);
    assertEquals(expected, chosen.record().id());
  }

  @Test
  void anEngineOnProbationIsPreferredToASuspectOne() {
    engines(2);
    engine("e0").failed(0);
    engine("e0").failed(0);
    engine("e1").failed(0);
    engine("e1").succeeded();
    engine("e1").requestStarted(0);
    Criteria criteria = new Criteria("s", List.of(), null, false);
    assertEquals("e1", selector.select(criteria, Set.of(), 1_000_000_000L).record().id());
  }

  @Test
  void anEngineOnProbationIsUsedIfNoOtherAcceptsWork() {
    engines(1);
    engine("e0").failed(0);
    Criteria criteria = new Criteria("s", List.of(), null, false);
    assertEquals("e0", selector.select(criteria, Set.of(), 1_000_000_000L).record().id());
  }
}
