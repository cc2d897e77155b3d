package org.baykeel.gateway.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.baykeel.gateway.directory.Engine;
import org.baykeel.gateway.directory.EngineId;
import org.baykeel.gateway.directory.EngineLoad;
import org.baykeel.gateway.peer.PeerAddress;
import org.baykeel.gateway.peer.PeerMessage;
import org.baykeel.gateway.telemetry.GatewayEvent;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class TestSharedLoad {
  private static final EngineLoad CHANGED = new EngineLoad(0, 5, 10, 100);
  private static final PeerAddress STRANGER = new PeerAddress("10.0.9.9", 1);

  private static PeerMessage told(long ageMillis, long bornMillis, int running) {
    return new PeerMessage.EngineLoadNotice(
        List.of(
            new PeerMessage.ReportedLoad(
                new EngineId("e0"), ageMillis, bornMillis, new EngineLoad(0, running, 0, 0))));
  }

  @ParameterizedTest(name = "{0} running of 16")
  @CsvSource({"2, 800", "12, 300"})
  void allNodesKnowAllEnginesAndOneNodeAsksEach(int running, long oldestMillis) {
    SimulatedRegion region = new SimulatedRegion(9, 12, new EngineLoad(0, running, 10, 100));
    for (int i = 0; i < 12; i++) {
      String engine = "e" + i;
      assertEquals(1, new HashSet<>(region.askers(engine, 1_000)).size(), engine);
      for (SimulatedRegion.Node node : region.nodes) {
        assertEquals(running, node.seen(engine));
        assertTrue(node.ageMillis(engine) <= oldestMillis, engine + " " + node.ageMillis(engine));
      }
    }
    assertEquals(
        12, region.nodes.stream().mapToLong(node -> node.figure("engines_reported_here")).sum());
    assertEquals(12, region.nodes.get(0).figure("engines_known"));
  }

  @ParameterizedTest(name = "after {0} ms")
  @ValueSource(longs = {0, 90, 210, 340, 470, 600, 690, 740})
  void aReporterThatDiesIsReplacedWithinASecond(long millis) {
    for (EngineLoad load : List.of(SimulatedRegion.CALM, SimulatedRegion.LOADED)) {
      SimulatedRegion region = new SimulatedRegion(9, 3, load);
      region.eventLoop.advance(millis);
      region.reporterOf("e1").kill();
      region.reports.set("e1", CHANGED);
      region.eventLoop.advance(1_000);
      region.nodes.forEach(node -> assertEquals(5, node.seen("e1"), node.name));
    }
  }

  @Test
  void aSubstituteGoesOnAtTheUsualPaceAndStopsWhenTheFirstIsBack() {
    SimulatedRegion region = new SimulatedRegion(9, 3, SimulatedRegion.LOADED);
    SimulatedRegion.Node first = region.reporterOf("e1");
    first.kill();
    region.eventLoop.advance(1_000);
    SimulatedRegion.Node substitute = region.reporterOf("e1");
    List<String> meanwhile = region.askers("e1", 2_000);
    assertEquals(Set.of(substitute.name), Set.copyOf(meanwhile));
    assertTrue(meanwhile.size() >= 8, "asked " + meanwhile.size());
    assertEquals(List.of(GatewayEvent.LOAD_REPORTER_CHANGED), substitute.events);
    SimulatedRegion.Node back = region.start(Integer.parseInt(first.name.substring(1)));
    region.eventLoop.advance(1_500);
    assertEquals(Set.of(back.name), Set.copyOf(region.askers("e1", 2_000)));
    assertEquals(2, substitute.events.size());
  }

  @Test
  void theThirdNodeStepsInWhenTwoAreGone() {
    SimulatedRegion region = new SimulatedRegion(9, 3, SimulatedRegion.CALM);
    region.reporterOf("e1").kill();
    region.eventLoop.advance(1_500);
    region.reporterOf("e1").kill();
    region.reports.set("e1", CHANGED);
    region.eventLoop.advance(1_150);
    region.nodes.forEach(node -> assertEquals(5, node.seen("e1"), node.name));
  }

  @Test
  void theSecondNodeTakesOverFromTheThirdWhenItIsBack() {
    SimulatedRegion region = new SimulatedRegion(9, 3, SimulatedRegion.CALM);
    region.reporterOf("e1").kill();
    region.eventLoop.advance(1_500);
    SimulatedRegion.Node second = region.reporterOf("e1");
    second.kill();
    region.eventLoop.advance(1_500);
    SimulatedRegion.Node third = region.reporterOf("e1");
    region.start(Integer.parseInt(second.name.substring(1)));
    region.eventLoop.advance(4_000);
    assertEquals(Set.of(second.name), Set.copyOf(region.askers("e1", 1_500)));
    assertEquals(2, third.events.size(), "it began and ended");
  }

  @Test
  void aReporterThatCanNotReachTheOthersIsReplacedThere() {
    SimulatedRegion region = new SimulatedRegion(9, 3, SimulatedRegion.CALM);
    SimulatedRegion.Node reporter = region.reporterOf("e1");
    List<SimulatedRegion.Node> others = new ArrayList<>(region.nodes);
    others.remove(reporter);
    region.cut(List.of(reporter), others, true);
    region.reports.set("e1", CHANGED);
    region.eventLoop.advance(1_000);
    region.nodes.forEach(node -> assertEquals(5, node.seen("e1"), node.name));
  }

  @Test
  void bothSidesOfACutKnowTheEnginesAndOneNodeAsksWhenItIsHealed() {
    SimulatedRegion region = new SimulatedRegion(20, 10, SimulatedRegion.CALM);
    List<SimulatedRegion.Node> left = region.nodes.subList(0, 10);
    List<SimulatedRegion.Node> right = region.nodes.subList(10, 20);
    region.cut(left, right, true);
    region.eventLoop.advance(2_500);
    for (int i = 0; i < 10; i++) {
      region.reports.set("e" + i, CHANGED);
    }
    region.eventLoop.advance(1_000);
    for (SimulatedRegion.Node node : region.nodes) {
      for (int i = 0; i < 10; i++) {
        assertEquals(5, node.seen("e" + i), node.name + " e" + i);
      }
    }
    region.cut(left, right, false);
    region.eventLoop.advance(1_500);
    for (int i = 0; i < 10; i++) {
      assertEquals(1, Set.copyOf(region.askers("e" + i, 1_500)).size(), "e" + i);
    }
  }

  @Test
  void eachRegionHasAReporterAndAnEngineElsewhereIsAskedSlowly() {
    SimulatedRegion region = new SimulatedRegion(6, 0, SimulatedRegion.CALM);
    for (int i = 0; i < 3; i++) {
      region.start(50 + i, SimulatedRegion.ZONE_OF_OTHER_REGION);
    }
    region.reports.set("far", SimulatedRegion.LOADED);
    region.nodes.forEach(
        node ->
            node.engines.put(SimulatedRegion.record("far", SimulatedRegion.ZONE_OF_OTHER_REGION)));
    region.eventLoop.advance(4_000);
    List<String> askers = region.askers("far", 7_000);
    region.nodes.forEach(node -> assertEquals(19, node.seen("far"), node.name));
    assertEquals(2, Set.copyOf(askers).size(), "one in each region: " + askers);
    List<String> west = List.of("n50", "n51", "n52");
    assertTrue(askers.stream().filter(west::contains).count() >= 7_000 / 250);
    assertTrue(askers.stream().filter(name -> !west.contains(name)).count() <= 7_000 / 700);
  }

  @Test
  void lossOfDatagramsLeavesTheViewInPlace() {
    SimulatedRegion region = new SimulatedRegion(20, 10, SimulatedRegion.LOADED);
    region.network.lose(0.2, new java.util.Random(7));
    for (int second = 0; second < 10; second++) {
      region.eventLoop.advance(1_000);
      for (SimulatedRegion.Node node : region.nodes) {
        for (int i = 0; i < 10; i++) {
          assertTrue(node.seen("e" + i) >= 0, node.name + " e" + i);
        }
      }
    }
  }

  @Test
  void aViewThatIsNotRenewedFadesToNothingKnown() {
    SimulatedRegion region = new SimulatedRegion(3, 1, SimulatedRegion.LOADED);
    region.reports.silence("e0");
    region.eventLoop.advance(2_000);
    SimulatedRegion.Node node = region.nodes.get(0);
    assertEquals(19, node.seen("e0"));
    region.eventLoop.advance(1_000);
    assertEquals(-1, node.seen("e0"));
    assertEquals(0, node.engine("e0").load().requests(region.eventLoop.nanoTime()));
    assertEquals(0, node.figure("engines_known"));
    assertEquals(-1, node.figure("oldest_age_milliseconds"));
  }

  @ParameterizedTest(name = "told {0} ms late after one of {1} ms: {2}")
  @CsvSource({"100, 400, 7", "400, 100, 9", "2600, 100, 9", "100, 100, 9"})
  void theNewestReportWinsWhoeverToldIt(long age, long ageBefore, int expected) {
    SimulatedRegion region = new SimulatedRegion(0, 1, SimulatedRegion.CALM);
    SimulatedRegion.Node node = region.start(1);
    region.eventLoop.advance(10);
    node.sharedLoad.onMessage(STRANGER, told(ageBefore, 0, 9));
    node.sharedLoad.onMessage(STRANGER, told(age, 0, 7));
    assertEquals(expected, node.seen("e0"));
  }

  @Test
  void aNoticeThatIsTooOldIsNoNews() {
    SimulatedRegion region = new SimulatedRegion(0, 1, SimulatedRegion.CALM);
    SimulatedRegion.Node node = region.start(1);
    node.sharedLoad.onMessage(STRANGER, told(2_500, 0, 9));
    assertEquals(-1, node.seen("e0"));
    node.sharedLoad.onMessage(STRANGER, told(2_400, 0, 9));
    assertEquals(9, node.seen("e0"));
    region.eventLoop.advance(100);
    assertEquals(-1, node.seen("e0"));
  }

  @Test
  void aNoticeOfAnEarlierLifeOfTheEngineIsNoNews() {
    SimulatedRegion region = new SimulatedRegion(0, 1, SimulatedRegion.CALM);
    SimulatedRegion.Node node = region.start(1);
    node.sharedLoad.onMessage(STRANGER, told(50, 1_000, 9));
    node.sharedLoad.onMessage(STRANGER, told(60, 2_000, 1));
    assertEquals(1, node.seen("e0"), "a later life counts, also when it was told later");
    node.sharedLoad.onMessage(STRANGER, told(10, 1_000, 9));
    assertEquals(1, node.seen("e0"));
  }

  @Test
  void anEngineWithoutReportsIsAskedByFewNodesAndRarely() {
    SimulatedRegion region = new SimulatedRegion(40, 0, SimulatedRegion.CALM);
    region.nodes.forEach(node -> node.engines.put(SimulatedRegion.record("tool")));
    List<String> askers = region.askers("tool", 29_000);
    assertTrue(askers.size() <= 5, "asked " + askers);
    assertEquals(askers.size(), Set.copyOf(askers).size());
    assertTrue(region.askers("tool", 30_000).size() <= 5);
    SimulatedRegion.Node first =
        region.nodes.stream().filter(n -> n.name.equals(askers.get(0))).findFirst().orElseThrow();
    assertTrue(first.events.contains(GatewayEvent.LOAD_REPORT_UNAVAILABLE));
  }

  @Test
  void anEngineThatAnswersNobodyIsAskedMoreAndMoreRarely() {
    SimulatedRegion region = new SimulatedRegion(40, 1, SimulatedRegion.LOADED);
    region.reports.silence("e0");
    region.eventLoop.advance(20_000);
    List<String> askers = region.askers("e0", 10_000);
    assertTrue(askers.size() <= 5 * 3, "asked " + askers.size());
    assertFalse(askers.isEmpty());
  }

  @Test
  void aLostAnswerIsNotAskedForAgainBeforeTheNextRound() {
    SimulatedRegion region = new SimulatedRegion(1, 1, SimulatedRegion.LOADED);
    region.reports.silence("e0");
    region.eventLoop.advance(150);
    int before = region.reports.queries().size();
    region.eventLoop.advance(200);
    assertTrue(region.reports.queries().size() - before <= 1);
  }

  @Test
  void ownRequestsThatAreUnderWayMakeAnEngineAskedMoreOften() {
    SimulatedRegion region = new SimulatedRegion(1, 1, SimulatedRegion.CALM);
    int calm = region.askers("e0", 2_100).size();
    Engine engine = region.nodes.get(0).engine("e0");
    for (int i = 0; i < 40; i++) {
      region.eventLoop.advance(50);
      engine.requestStarted(region.eventLoop.nanoTime());
    }
    region.reports.set("e0", SimulatedRegion.LOADED);
    assertTrue(calm <= 3, "calm: " + calm);
    assertTrue(region.askers("e0", 2_000).size() >= 8);
  }

  @Test
  void aNodeThatDoesNotKnowTheOthersAsksNobodyAndHearsThem() {
    SimulatedRegion region = new SimulatedRegion(5, 3, SimulatedRegion.CALM);
    region.store.failReads(true);
    SimulatedRegion.Node late = region.start(77);
    region.eventLoop.advance(3_000);
    assertTrue(
        region.reports.queries().stream().noneMatch(asked -> asked.node().equals(late.name)));
    assertEquals(0, late.figure("engines_reported_here"));
  }

  @Test
  void allNodesThatStartAtOnceKnowTheEnginesAgainWithinThreeSeconds() {
    SimulatedRegion region = new SimulatedRegion(20, 10, SimulatedRegion.LOADED);
    List.copyOf(region.nodes).forEach(SimulatedRegion.Node::kill);
    for (int i = 0; i < 20; i++) {
      region.start(i);
    }
    region.eventLoop.advance(3_000);
    for (SimulatedRegion.Node node : region.nodes) {
      for (int i = 0; i < 10; i++) {
        assertEquals(19, node.seen("e" + i));
      }
    }
  }

  @Test
  void enginesOfOneNodeAreToldTogether() {
    SimulatedRegion region = new SimulatedRegion(2, 0, SimulatedRegion.CALM);
    for (int i = 0; i < 20; i++) {
      String engine = "e" + i;
      region.reports.set(engine, SimulatedRegion.CALM);
      region.nodes.forEach(node -> node.engines.put(SimulatedRegion.record(engine)));
      region.eventLoop.advance(130);
    }
    region.eventLoop.advance(2_000);
    SimulatedRegion.Node node = region.nodes.get(0);
    long before = node.figure("datagrams_sent");
    region.eventLoop.advance(7_000);
    long rounds = 7_000 / 700;
    assertTrue(node.figure("engines_reported_here") > 5);
    long sent = node.figure("datagrams_sent") - before;
    assertTrue(sent <= 2 * rounds + 2, "sent " + sent);
  }

  @Test
  void bytesOfEachNodeStayWithinTheirBudgetWhenAllEnginesAreLoaded() {
    SimulatedRegion region = new SimulatedRegion(77, 40, SimulatedRegion.LOADED);
    int seconds = 20;
    List<Long> before = region.nodes.stream().map(node -> node.figure("sent_bytes")).toList();
    region.eventLoop.advance(seconds * 1_000);
    long most =
        LoadNoticePublisher.MAX_SAVED_BYTES + seconds * LoadNoticePublisher.BYTES_PER_SECOND;
    for (int i = 0; i < region.nodes.size(); i++) {
      SimulatedRegion.Node node = region.nodes.get(i);
      long sent = node.figure("sent_bytes") - before.get(i);
      assertTrue(sent <= most, node.name + " sent " + sent);
      for (int e = 0; e < 40; e++) {
        assertEquals(19, node.seen("e" + e), "the view stays in place");
      }
    }
    for (int e = 0; e < 40; e += 8) {
      List<String> askers = region.askers("e" + e, 2_000);
      assertEquals(1, Set.copyOf(askers).size(), "a longer interval is no silence: " + askers);
    }
  }
}
