package org.baykeel.gateway.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import org.baykeel.gateway.directory.Engine;
import org.baykeel.gateway.directory.EngineDirectory;
import org.baykeel.gateway.directory.EngineId;
import org.baykeel.gateway.directory.EngineLoad;
import org.baykeel.gateway.directory.EngineRecord;
import org.baykeel.gateway.directory.PromptPart;
import org.baykeel.gateway.residency.Residency;
import org.baykeel.gateway.scheduling.EngineSelector.Criteria;
import org.baykeel.gateway.scheduling.EngineSimulation.Request;
import org.baykeel.gateway.topology.RoundTrips;
import org.baykeel.gateway.topology.Topology;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Engine selection with a load view that all nodes share and that is delayed. */
class TestSelectionByLoadView {
  private static final int NODES = 77;
  private static final List<PromptPart> PROMPT = List.of(new PromptPart("own", 500));
  private static final Criteria STREAM = new Criteria("s", PROMPT, null, true);
  private static final double FAIR_SHARE = 1.0 / 9;
  private static final Criteria TOOL = new Criteria("s", List.of(), null, false);

  /**
   * Demand is nine tenths of the capacity; each engine but one starts with as many waiting requests
   * as running ones.
   */
  @ParameterizedTest(name = "{0} engines of {1} slots, work of {2} ms, stream {3}")
  @CsvSource({"31, 32, 1000, true", "31, 16, 400, true", "13, 6, 300, false", "13, 9, 20, false"})
  void nodesThatAllSeeOneEmptyEngineFillItWithoutOverloadingIt(
      int count, int slots, double workMillis, boolean stream) {
    EngineSimulation engines = new EngineSimulation(NODES, count, slots, workMillis, true);
    for (int i = 1; i < count; i++) {
      engines.addUnreportedLoad(i, 2 * slots);
    }
    double perStep = 0.9 * count * slots * EngineSimulation.STEP_MILLIS / workMillis;
    double due = 0;
    int most = 0;
    int filled = 0;
    for (int step = 0; step < 400; step++) {
      engines.step(stream);
      for (due += step < 80 ? 0 : perStep; due >= 1; due--) {
        engines.send(stream ? STREAM : TOOL);
      }
      most = Math.max(most, engines.engine(0).requests());
      filled = step == 80 + 200 ? engines.engine(0).requests() : filled;
    }
    assertTrue(most <= 4 * slots, most + " requests at an engine of " + slots + " slots");
    assertTrue(filled >= slots / 3, filled + " requests at an engine of " + slots + " slots");
  }

  /**
   * Demand is half of the capacity; conversations have home engines; one engine is slow from 2 s to
   * 8 s.
   */
  @Test
  void programsLeaveAnEngineThatIsSlowForSixSecondsAndReturn() {
    EngineSimulation engines = new EngineSimulation(NODES, 9, 16, 400, true);
    List<Request> sent = new ArrayList<>();
    double perStep = 0.5 * 9 * 16 * EngineSimulation.STEP_MILLIS / 400;
    double due = 0;
    int program = 0;
    for (long millis = 0; millis < 17_000; millis += EngineSimulation.STEP_MILLIS) {
      engines.engine(0).slowness(millis >= 2_000 && millis < 8_000 ? 4 : 1);
      engines.step(true);
      for (due += perStep; due >= 1; due--) {
        sent.add(engines.send(new Criteria("s", PROMPT, "p" + program++ % 400, true)));
      }
    }
    assertTrue(inTime(sent, 3_000, 9_000) >= 0.9);
    assertTrue(inTime(sent, 12_000, 16_000) >= 0.95);
    assertTrue(atFirstEngine(sent, 4_000, 9_000) <= FAIR_SHARE);
    assertTrue(atFirstEngine(sent, 12_000, 16_000) >= FAIR_SHARE / 2);
  }

  /** Returns which part of the streams sent within a period ended within twice the usual time. */
  private static double inTime(List<Request> sent, long fromMillis, long toMillis) {
    return part(sent, fromMillis, toMillis, request -> request.tookMillis() <= 800);
  }

  private static double atFirstEngine(List<Request> sent, long fromMillis, long toMillis) {
    return part(sent, fromMillis, toMillis, request -> request.engineId().equals("e0"));
  }

  private static double part(
      List<Request> sent, long fromMillis, long toMillis, Predicate<Request> counted) {
    List<Request> within =
        sent.stream()
            .filter(
                request -> request.sentMillis() >= fromMillis && request.sentMillis() < toMillis)
            .toList();
    return (double) within.stream().filter(counted).count() / within.size();
  }

  /**
   * Idle engines, one of which takes half as long again for each event and has cached a short
   * prompt.
   */
  @ParameterizedTest(name = "load known: {0}")
  @ValueSource(booleans = {false, true})
  void anInterEventTimeBelowTheSlowThresholdCountsOnlyIfTheLoadIsKnown(boolean known) {
    EngineDirectory directory = new EngineDirectory(1);
    for (String id : List.of("slower", "faster")) {
      directory.put(new EngineRecord(id, "s", "10.0.0.1", 80, "z", 8, false));
      Engine engine = directory.find(new EngineId(id));
      if (known) {
        engine.load().reported(new EngineLoad(0, 0, 0, 0), 0);
      }
      for (int i = 0; i < 100; i++) {
        engine.observeInterEventTime(id.equals("slower") ? 45 : 30);
      }
    }
    directory.find(new EngineId("slower")).cachedPrefixes().add(PROMPT);
    EngineSelector selector = new EngineSelector(directory, "z", new SplittableRandom(1));
    String chosen = selector.select(STREAM, Set.of(), 0).record().id();
    assertEquals(known ? "faster" : "slower", chosen);
  }

  /** Engines with the same prefill rate and inter-event time that differ in their free memory. */
  @ParameterizedTest(name = "prompt {0} tokens, output at most {1}: {2}")
  @CsvSource({
    "2000, 500, home",
    "6000, 500, roomy",
    "6000, 5000, roomy",
    "30000, 500, large",
    "90000, 500, home"
  })
  void theLargestPromptsGoWhereMemoryIsFree(int promptTokens, int outputTokens, String expected) {
    EngineDirectory directory = new EngineDirectory(1);
    Topology topology = Topology.ofOneRegion("z");
    EngineSelector selector =
        new EngineSelector(
            directory,
            topology,
            new RoundTrips(topology),
            List.of(new MemoryPolicy()),
            new SplittableRandom(1));
    load(directory, "home", 16_000, 20_000);
    load(directory, "roomy", 8_000, 20_000);
    load(directory, "large", 48_000, 60_000);
    List<PromptPart> prompt = List.of(new PromptPart("own", promptTokens));
    directory.find(new EngineId("home")).cachedPrefixes().add(prompt);
    Criteria criteria = new Criteria("s", prompt, null, true, Residency.ANY, outputTokens);
    assertEquals(expected, selector.select(criteria, Set.of(), 0).record().id());
  }

  /**
   * One tool engine in each of two zones. The engine in the zone of the node already has requests
   * in flight.
   */
  @ParameterizedTest(name = "round trip {0} ms, {1} in flight here: {2}")
  @CsvSource({"1, 1, here", "1, 5, there", "12, 12, here", "12, 40, there"})
  void aToolCallToAnotherZoneCostsTheMeasuredRoundTrip(
      double roundTripMillis, int inFlight, String expected) {
    EngineDirectory directory = new EngineDirectory(1);
    directory.put(new EngineRecord("here", "s", "10.0.0.1", 80, "z", 16, false));
    directory.put(new EngineRecord("there", "s", "10.0.0.2", 80, "other", 16, false));
    for (int i = 0; i < 200; i++) {
      directory.performanceOf("s").observeNonStream(8);
    }
    for (int i = 0; i < inFlight; i++) {
      directory.find(new EngineId("here")).requestStarted(0);
    }
    Topology topology = Topology.ofOneRegion("z");
    RoundTrips roundTrips = new RoundTrips(topology);
    roundTrips.observe("other", roundTripMillis, 0);
    EngineSelector selector =
        new EngineSelector(directory, topology, roundTrips, List.of(), new SplittableRandom(1));
    assertEquals(expected, selector.select(TOOL, Set.of(), 0).record().id());
  }

  private static void load(EngineDirectory directory, String id, long used, long total) {
    directory.put(new EngineRecord(id, "s", "10.0.0.1", 80, "z", 8, false));
    Engine engine = directory.find(new EngineId(id));
    engine.load().reported(new EngineLoad(0, 4, used, total), 0);
  }
}
