package org.baykeel.gateway.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.baykeel.gateway.admission.AdmissionRequest;
import org.baykeel.gateway.admission.ProgramAdmission;
import org.baykeel.gateway.directory.Engine;
import org.baykeel.gateway.directory.EngineDirectory;
import org.baykeel.gateway.directory.EngineRecord;
import org.baykeel.gateway.directory.PromptPart;
import org.baykeel.gateway.directory.ServicePerformance;
import org.baykeel.gateway.fairness.AdmissionShares;
import org.baykeel.gateway.scheduling.EngineSelector.Criteria;
import org.baykeel.gateway.tenancy.Caller;
import org.baykeel.gateway.tenancy.LimitUse;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against decisions that fit only one type of engine: they must follow the observed
 * performance of engines of different speed, slots and token rate.
 */
class TestSelectionAcrossEngineTypes {
  private static final String SERVICE = "s";
  private static final int OBSERVATIONS = 400;
  private static final int CACHED_TOKENS = 6_000;
  private static final long TARGET_MILLIS = 200;
  private static final List<PromptPart> PROMPT =
      List.of(new PromptPart("shared", CACHED_TOKENS), new PromptPart("own", 500));

  private final Random random = new Random(7);
  private final EngineDirectory directory = new EngineDirectory(1);
  private final EngineSelector selector = new EngineSelector(directory, "z", random);

  /**
   * Prefill rate in tokens per millisecond, slots, time to the first event and inter-event time in
   * milliseconds.
   */
  static Stream<Arguments> engineTypes() {
    return Stream.of(10.0, 40.0, 270.0)
        .flatMap(
            speed ->
                IntStream.of(4, 16, 64, 128)
                    .boxed()
                    .flatMap(
                        slots ->
                            Stream.of(1.0, 5.0, 30.0)
                                .map(step -> Arguments.of(speed, slots, step * 4, step * 3))));
  }

  private Engine engine(String id, int slots, String zone) {
    directory.put(new EngineRecord(id, SERVICE, "10.0.0.1", 80, zone, slots, false));
    return directory.ofService(SERVICE).get(directory.ofService(SERVICE).size() - 1);
  }

  private void observe(Engine engine, double speed, double firstMillis, double interEventMillis) {
    ServicePerformance performance = engine.performance();
    for (int i = 0; i < OBSERVATIONS; i++) {
      int uncached = random.nextInt(4_000);
      performance.observeFirstEvent(uncached, firstMillis + uncached / speed);
      engine.observeInterEventTime(interEventMillis);
    }
  }

  @ParameterizedTest
  @MethodSource("engineTypes")
  void prefillRateAndFirstEventTimeAreLearnt(
      double speed, int slots, double first, double interEventMillis) {
    Engine engine = engine("e0", slots, "z");
    observe(engine, speed, first, interEventMillis);
    ServicePerformance performance = engine.performance();
    assertEquals(4_000 / speed, performance.prefillMillis(4_000), 400 / speed);
    assertEquals(first, performance.firstEventMillis(), 1 + first * 0.3);
    assertEquals(interEventMillis, performance.interEventMillis(), interEventMillis * 0.2);
  }

  @ParameterizedTest
  @MethodSource("engineTypes")
  void prefillTimeDoesNotCountAsWait(
      double speed, int slots, double first, double interEventMillis) {
    Engine engine = engine("e0", slots, "z");
    observe(engine, speed, first, interEventMillis);
    ProgramAdmission admission = admission();
    List<PromptPart> uncached = List.of(new PromptPart("new", 4_000));
    double waitMillis = first + 4_000 / speed - engine.expectedFirstEventMillis(uncached);
    for (int i = 0; i < 50; i++) {
      admission.observeWait(SERVICE, waitMillis, 0);
    }
    assertTrue(admission.unrestricted(request(1, TARGET_MILLIS), 0));
    assertTrue(admission.hasSpareCapacity(SERVICE, TARGET_MILLIS, 0), waitMillis + " ms");
  }

  private ProgramAdmission admission() {
    return new ProgramAdmission(directory, random, AdmissionShares.EVEN, (event, fields) -> {});
  }

  private static AdmissionRequest request(int rank, long targetMillis) {
    return new AdmissionRequest(
        "kind", rank, Caller.WITHOUT_KEYS, SERVICE, targetMillis, 0, LimitUse.UNKNOWN);
  }

  @ParameterizedTest
  @MethodSource("engineTypes")
  void aConversationLeavesItsCachedPrefixOnlyForAWaitThatExceedsThePrefill(
      double speed, int slots, double first, double interEventMillis) {
    Engine cachingEngine = engine("e0", slots, "z");
    Engine other = engine("e1", slots, "z");
    observe(cachingEngine, speed, first, interEventMillis);
    observe(other, speed, first, interEventMillis);
    cachingEngine.cachedPrefixes().add(PROMPT);
    Criteria criteria = new Criteria(SERVICE, PROMPT, null, true);
    double prefillMillis = CACHED_TOKENS / speed;
    cachingEngine.observeWait(prefillMillis, 0);
    assertEquals("e0", selector.select(criteria, Set.of(), 0).record().id());
    for (int i = 0; i < 50; i++) {
      cachingEngine.observeWait(prefillMillis * 20 + 400, 0);
    }
    assertEquals("e1", selector.select(criteria, Set.of(), 0).record().id());
  }

  @ParameterizedTest
  @ValueSource(ints = {10, 60, 300, 900})
  void aToolCallLeavesItsZoneOnlyForAWaitThatExceedsTheRoundTrip(int workMillis) {
    Engine near = engine("near", 6, "z");
    engine("far", 6, "elsewhere");
    for (int i = 0; i < OBSERVATIONS; i++) {
      near.performance().observeNonStream(workMillis);
    }
    Criteria criteria = new Criteria(SERVICE, List.of(), null, true);
    int sent = 0;
    while (selector.select(criteria, Set.of(), 0) == near) {
      near.requestStarted(0);
      sent++;
    }
    double waitMillis = sent * workMillis / 6.0;
    assertTrue(waitMillis < 6 + 1.5 * workMillis / 6.0, sent + " calls, " + waitMillis + " ms");
    assertTrue(sent > 0);
  }

  @ParameterizedTest
  @ValueSource(ints = {10, 60, 300, 900})
  void nodesWithTheSameViewDoNotAllSelectTheSameEngine(int workMillis) {
    for (int i = 0; i < 6; i++) {
      Engine engine = engine("e" + i, 6, "z");
      engine.performance().observeNonStream(workMillis);
    }
    Criteria criteria = new Criteria(SERVICE, List.of(), null, true);
    Map<String, Integer> picks = new HashMap<>();
    for (int node = 0; node < 600; node++) {
      EngineSelector other = new EngineSelector(directory, "z", new SplittableRandom(node));
      picks.merge(other.select(criteria, Set.of(), 0).record().id(), 1, Integer::sum);
    }
    assertEquals(6, picks.size());
    picks.values().forEach(count -> assertTrue(count < 200, picks::toString));
  }

  @ParameterizedTest
  @ValueSource(longs = {50, 200, 2_000})
  void refusalsStartAtAMultipleOfTheRoutesTarget(long targetMillis) {
    ProgramAdmission admission = admission();
    for (int i = 0; i < 100; i++) {
      admission.observeWait(SERVICE, targetMillis * 0.2, 0);
    }
    assertTrue(admission.unrestricted(request(1, targetMillis), 0));
    for (int i = 0; i < 100; i++) {
      admission.observeWait(SERVICE, targetMillis * 2.0, 0);
    }
    for (int rank = 0; rank < 2; rank++) {
      int refused = 0;
      for (int i = 0; i < 20; i++) {
        refused += admission.decide(request(rank, targetMillis), "r", "p", 0).admitted() ? 0 : 1;
      }
      assertTrue(refused >= 18, "rank " + rank + " refused " + refused);
    }
  }
}
