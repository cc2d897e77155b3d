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

class TestLoadSharing {
  private static final EngineLoad CHANGED = new EngineLoad(0, 5, 10, 100);
  private static final PeerAddress UNKNOWN_PEER = new PeerAddress("10.0.9.9", 1);

  private static PeerMessage notice(long ageMillis, long startMillis, int running) {
    return new PeerMessage.EngineLoadNotice(
        List.of(
            new PeerMessage.ReportedLoad(
                new EngineId("e0"), ageMillis, startMillis, new EngineLoad(0, running, 0, 0))));
  }

  @ParameterizedTest(name = "{0} running of 16")
  @CsvSource({"2, 800", "12, 300"})
  void allNodesKnowAllEnginesAndOneNodeQueriesEach(int running, long oldestMillis) {
    SimulatedRegion region = new SimulatedRegion(9, 12, new EngineLoad(0, running, 10, 100));
    for (int i = 0; i < 12; i++) {
      String engine = "e" + i;
      assertEquals(1, new HashSet<>(region.queryingNodes(engine, 1_000)).size(), engine);
      for (SimulatedRegion.Node node : region.nodes) {
        assertEquals(running, node.estimatedRequests(engine));
        assertTrue(node.ageMillis(engine) <= oldestMillis, engine + " " + node.ageMillis(engine));
      }
    }
    assertEquals(
        12, region.nodes.stream().mapToLong(node -> node.metric("engines_reported_here")).sum());
    assertEquals(12, region.nodes.get(0).metric("engines_known"));
  }

  @ParameterizedTest(name = "after {0} ms")
  @ValueSource(longs = {0, 90, 210, 340, 470, 600, 690, 740})
  void aFailedReporterIsReplacedWithinASecond(long millis) {
    for (EngineLoad load : List.of(SimulatedRegion.UNLOADED, SimulatedRegion.LOADED)) {
      SimulatedRegion region = new SimulatedRegion(9, 3, load);
      region.eventLoop.advance(millis);
      region.reporterOf("e1").kill();
      region.reports.set("e1", CHANGED);
      region.eventLoop.advance(1_000);
      region.nodes.forEach(node -> assertEquals(5, node.estimatedRequests("e1"), node.name));
    }
  }

  @Test
  void aSubstituteQueriesAtTheUsualIntervalUntilTheFirstNodeIsBack() {
    SimulatedRegion region = new SimulatedRegion(9, 3, SimulatedRegion.LOADED);
    SimulatedRegion.Node first = region.reporterOf("e1");
    first.kill();
    region.eventLoop.advance(1_000);
    SimulatedRegion.Node substitute = region.reporterOf("e1");
    List<String> substituteQueries = region.queryingNodes("e1", 2_000);
    assertEquals(Set.of(substitute.name), Set.copyOf(substituteQueries));
    assertTrue(substituteQueries.size() >= 8, "queried " + substituteQueries.size());
    assertEquals(List.of(GatewayEvent.LOAD_REPORTER_CHANGED), substitute.events);
    SimulatedRegion.Node back = region.start(Integer.parseInt(first.name.substring(1)));
    region.eventLoop.advance(1_500);
    assertEquals(Set.of(back.name), Set.copyOf(region.queryingNodes("e1", 2_000)));
    assertEquals(2, substitute.events.size());
  }

  @Test
  void theThirdNodeTakesOverWhenTwoHaveFailed() {
    SimulatedRegion region = new SimulatedRegion(9, 3, SimulatedRegion.UNLOADED);
    region.reporterOf("e1").kill();
    region.eventLoop.advance(1_500);
    region.reporterOf("e1").kill();
    region.reports.set("e1", CHANGED);
    region.eventLoop.advance(1_150);
    region.nodes.forEach(node -> assertEquals(5, node.estimatedRequests("e1"), node.name));
  }

  @Test
  void theSecondNodeTakesOverFromTheThirdWhenItReturns() {
    SimulatedRegion region = new SimulatedRegion(9, 3, SimulatedRegion.UNLOADED);
    region.reporterOf("e1").kill();
    region.eventLoop.advance(1_500);
    SimulatedRegion.Node second = region.reporterOf("e1");
    second.kill();
    region.eventLoop.advance(1_500);
    SimulatedRegion.Node third = region.reporterOf("e1");
    region.start(Integer.parseInt(second.name.substring(1)));
    region.eventLoop.advance(4_000);
    assertEquals(Set.of(second.name), Set.copyOf(region.queryingNodes("e1", 1_500)));
    assertEquals(2, third.events.size(), "it started and stopped reporting");
  }

  @Test
  void aReporterThatCannotReachItsPeersIsReplaced() {
    SimulatedRegion region = new SimulatedRegion(9, 3, SimulatedRegion.UNLOADED);
    SimulatedRegion.Node reporter = region.reporterOf("e1");
    List<SimulatedRegion.Node> others = new ArrayList<>(region.nodes);
    others.remove(reporter);
    region.cut(List.of(reporter), others, true);
    region.reports.set("e1", CHANGED);
    region.eventLoop.advance(1_000);
    region.nodes.forEach(node -> assertEquals(5, node.estimatedRequests("e1"), node.name));
  }

  @Test
  void bothSidesOfAPartitionKnowTheEnginesAndOneNodeQueriesAfterwards() {
    SimulatedRegion region = new SimulatedRegion(20, 10, SimulatedRegion.UNLOADED);
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
        assertEquals(5, node.estimatedRequests("e" + i), node.name + " e" + i);
      }
    }
    region.cut(left, right, false);
    region.eventLoop.advance(1_500);
    for (int i = 0; i < 10; i++) {
      assertEquals(1, Set.copyOf(region.queryingNodes("e" + i, 1_500)).size(), "e" + i);
    }
  }

  @Test
  void eachRegionHasAReporterAndEnginesOfOtherRegionsAreQueriedAtTheLongInterval() {
    SimulatedRegion region = new SimulatedRegion(6, 0, SimulatedRegion.UNLOADED);
    for (int i = 0; i < 3; i++) {
      region.start(50 + i, SimulatedRegion.ZONE_OF_OTHER_REGION);
    }
    region.reports.set("far", SimulatedRegion.LOADED);
    region.nodes.forEach(
        node ->
            node.engines.put(SimulatedRegion.record("far", SimulatedRegion.ZONE_OF_OTHER_REGION)));
    region.eventLoop.advance(4_000);
    List<String> queryingNodes = region.queryingNodes("far", 7_000);
    region.nodes.forEach(node -> assertEquals(19, node.estimatedRequests("far"), node.name));
    assertEquals(2, Set.copyOf(queryingNodes).size(), "one in each region: " + queryingNodes);
    List<String> west = List.of("n50", "n51", "n52");
    assertTrue(queryingNodes.stream().filter(west::contains).count() >= 7_000 / 250);
    assertTrue(queryingNodes.stream().filter(name -> !west.contains(name)).count() <= 7_000 / 700);
  }

  @Test
  void lostDatagramsDoNotExpireTheView() {
    SimulatedRegion region = new SimulatedRegion(20, 10, SimulatedRegion.LOADED);
    region.network.lose(0.2, new java.util.Random(7));
    for (int second = 0; second < 10; second++) {
      region.eventLoop.advance(1_000);
      for (SimulatedRegion.Node node : region.nodes) {
        for (int i = 0; i < 10; i++) {
          assertTrue(node.estimatedRequests("e" + i) >= 0, node.name + " e" + i);
        }
      }
    }
  }

  @Test
  void aViewThatIsNotRenewedExpires() {
    SimulatedRegion region = new SimulatedRegion(3, 1, SimulatedRegion.LOADED);
    region.reports.silence("e0");
    region.eventLoop.advance(2_000);
    SimulatedRegion.Node node = region.nodes.get(0);
    assertEquals(19, node.estimatedRequests("e0"));
    region.eventLoop.advance(1_000);
    assertEquals(-1, node.estimatedRequests("e0"));
    assertEquals(0, node.engine("e0").load().requests(region.eventLoop.nanoTime()));
    assertEquals(0, node.metric("engines_known"));
    assertEquals(-1, node.metric("oldest_age_milliseconds"));
  }

  @ParameterizedTest(name = "report of age {0} ms after one of age {1} ms: {2} running")
  @CsvSource({"100, 400, 7", "400, 100, 9", "2600, 100, 9", "100, 100, 9"})
  void theNewestReportWinsWhicheverNodePublishedIt(long age, long ageBefore, int expected) {
    SimulatedRegion region = new SimulatedRegion(0, 1, SimulatedRegion.UNLOADED);
    SimulatedRegion.Node node = region.start(1);
    region.eventLoop.advance(10);
    node.sharedLoad.onMessage(UNKNOWN_PEER, notice(ageBefore, 0, 9));
    node.sharedLoad.onMessage(UNKNOWN_PEER, notice(age, 0, 7));
    assertEquals(expected, node.estimatedRequests("e0"));
  }

  @Test
  void aNoticeThatIsTooOldIsIgnored() {
    SimulatedRegion region = new SimulatedRegion(0, 1, SimulatedRegion.UNLOADED);
    SimulatedRegion.Node node = region.start(1);
    node.sharedLoad.onMessage(UNKNOWN_PEER, notice(2_500, 0, 9));
    assertEquals(-1, node.estimatedRequests("e0"));
    node.sharedLoad.onMessage(UNKNOWN_PEER, notice(2_400, 0, 9));
    assertEquals(9, node.estimatedRequests("e0"));
    region.eventLoop.advance(100);
    assertEquals(-1, node.estimatedRequests("e0"));
  }

  @Test
  void aNoticeOfAnEarlierIncarnationIsIgnored() {
    SimulatedRegion region = new SimulatedRegion(0, 1, SimulatedRegion.UNLOADED);
    SimulatedRegion.Node node = region.start(1);
    node.sharedLoad.onMessage(UNKNOWN_PEER, notice(50, 1_000, 9));
    node.sharedLoad.onMessage(UNKNOWN_PEER, notice(60, 2_000, 1));
    assertEquals(
        1, node.estimatedRequests("e0"), "a later incarnation wins even if its report is older");
    node.sharedLoad.onMessage(UNKNOWN_PEER, notice(10, 1_000, 9));
    assertEquals(1, node.estimatedRequests("e0"));
  }

  @Test
  void anEngineWithoutReportsIsQueriedByFewNodesAndRarely() {
    SimulatedRegion region = new SimulatedRegion(40, 0, SimulatedRegion.UNLOADED);
    region.nodes.forEach(node -> node.engines.put(SimulatedRegion.record("tool")));
    List<String> queryingNodes = region.queryingNodes("tool", 29_000);
    assertTrue(queryingNodes.size() <= 5, "queried " + queryingNodes);
    assertEquals(queryingNodes.size(), Set.copyOf(queryingNodes).size());
    assertTrue(region.queryingNodes("tool", 30_000).size() <= 5);
    SimulatedRegion.Node first =
        region.nodes.stream()
            .filter(n -> n.name.equals(queryingNodes.get(0)))
            .findFirst()
            .orElseThrow();
    assertTrue(first.events.contains(GatewayEvent.LOAD_REPORT_UNAVAILABLE));
  }

  @Test
  void anEngineThatDoesNotRespondIsQueriedWithBackoff() {
    SimulatedRegion region = new SimulatedRegion(40, 1, SimulatedRegion.LOADED);
    region.reports.silence("e0");
    region.eventLoop.advance(20_000);
    List<String> queryingNodes = region.queryingNodes("e0", 10_000);
    assertTrue(queryingNodes.size() <= 5 * 3, "queried " + queryingNodes.size());
    assertFalse(queryingNodes.isEmpty());
  }

  @Test
  void aQueryWithoutResponseIsNotRepeatedBeforeTheNextRound() {
    SimulatedRegion region = new SimulatedRegion(1, 1, SimulatedRegion.LOADED);
    region.reports.silence("e0");
    region.eventLoop.advance(150);
    int before = region.reports.queries().size();
    region.eventLoop.advance(200);
    assertTrue(region.reports.queries().size() - before <= 1);
  }

  @Test
  void ownRequestsInFlightShortenTheQueryInterval() {
    SimulatedRegion region = new SimulatedRegion(1, 1, SimulatedRegion.UNLOADED);
    int calm = region.queryingNodes("e0", 2_100).size();
    Engine engine = region.nodes.get(0).engine("e0");
    for (int i = 0; i < 40; i++) {
      region.eventLoop.advance(50);
      engine.requestStarted(region.eventLoop.nanoTime());
    }
    region.reports.set("e0", SimulatedRegion.LOADED);
    assertTrue(calm <= 3, "calm: " + calm);
    assertTrue(region.queryingNodes("e0", 2_000).size() >= 8);
  }

  @Test
  void aNodeThatDoesNotKnowItsPeersQueriesNoEngine() {
    SimulatedRegion region = new SimulatedRegion(5, 3, SimulatedRegion.UNLOADED);
    region.store.failReads(true);
    SimulatedRegion.Node late = region.start(77);
    region.eventLoop.advance(3_000);
    assertTrue(
        region.reports.queries().stream().noneMatch(query -> query.node().equals(late.name)));
    assertEquals(0, late.metric("engines_reported_here"));
  }

  @Test
  void nodesThatAllStartAtOnceKnowTheEnginesWithinThreeSeconds() {
    SimulatedRegion region = new SimulatedRegion(20, 10, SimulatedRegion.LOADED);
    List.copyOf(region.nodes).forEach(SimulatedRegion.Node::kill);
    for (int i = 0; i < 20; i++) {
      region.start(i);
    }
    region.eventLoop.advance(3_000);
    for (SimulatedRegion.Node node : region.nodes) {
      for (int i = 0; i < 10; i++) {
        assertEquals(19, node.estimatedRequests("e" + i));
      }
    }
  }

  @Test
  void reportsOfOneNodeAreBatched() {
    SimulatedRegion region = new SimulatedRegion(2, 0, SimulatedRegion.UNLOADED);
    for (int i = 0; i < 20; i++) {
      String engine = "e" + i;
      region.reports.set(engine, SimulatedRegion.UNLOADED);
      region.nodes.forEach(node -> node.engines.put(SimulatedRegion.record(engine)));
      region.eventLoop.advance(130);
    }
    region.eventLoop.advance(2_000);
    SimulatedRegion.Node node = region.nodes.get(0);
    long before = node.metric("datagrams_sent");
    region.eventLoop.advance(7_000);
    long rounds = 7_000 / 700;
    assertTrue(node.metric("engines_reported_here") > 5);
    long sent = node.metric("datagrams_sent") - before;
    assertTrue(sent <= 2 * rounds + 2, "sent " + sent);
  }

  @Test
  void bytesOfEachNodeStayWithinTheirBudgetWhenAllEnginesAreLoaded() {
    SimulatedRegion region = new SimulatedRegion(77, 40, SimulatedRegion.LOADED);
    int seconds = 20;
    List<Long> before = region.nodes.stream().map(node -> node.metric("sent_bytes")).toList();
    region.eventLoop.advance(seconds * 1_000);
    long most =
        LoadNoticePublisher.MAX_BURST_BYTES + seconds * LoadNoticePublisher.BYTES_PER_SECOND;
    for (int i = 0; i < region.nodes.size(); i++) {
      SimulatedRegion.Node node = region.nodes.get(i);
      long sent = node.metric("sent_bytes") - before.get(i);
      assertTrue(sent <= most, node.name + " sent " + sent);
      for (int e = 0; e < 40; e++) {
        assertEquals(19, node.estimatedRequests("e" + e), "the view does not expire");
      }
    }
    for (int e = 0; e < 40; e += 8) {
      List<String> queryingNodes = region.queryingNodes("e" + e, 2_000);
      assertEquals(
          1,
          Set.copyOf(queryingNodes).size(),
          "a longer interval causes no takeover: " + queryingNodes);
    }
  }
}
