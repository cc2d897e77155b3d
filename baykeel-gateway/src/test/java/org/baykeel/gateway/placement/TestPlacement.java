package org.baykeel.gateway.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.baykeel.gateway.configuration.GatewayConfiguration;
import org.baykeel.gateway.configuration.RequestLimits;
import org.baykeel.gateway.configuration.ServiceProfile;
import org.baykeel.gateway.directory.Engine;
import org.baykeel.gateway.directory.EngineDirectory;
import org.baykeel.gateway.directory.EngineId;
import org.baykeel.gateway.directory.EngineRecord;
import org.baykeel.gateway.directory.PromptPart;
import org.baykeel.gateway.peer.PeerAddress;
import org.baykeel.gateway.residency.Residency;
import org.baykeel.gateway.scheduling.EngineSelector.Choice;
import org.baykeel.gateway.scheduling.EngineSelector.Criteria;
import org.baykeel.gateway.telemetry.GatewayMetrics;
import org.baykeel.gateway.testing.TestingEventLoop;
import org.baykeel.gateway.topology.Locality;
import org.baykeel.gateway.topology.RegionId;
import org.baykeel.gateway.topology.Topology;
import org.baykeel.gateway.warmup.ColdBounds;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Cordoned zones, regions, residency and cold engines together in one engine selection. */
class TestPlacement {
  private static final RegionId EAST = new RegionId("east");
  private static final RegionId WEST = new RegionId("west");
  private static final Map<String, RegionId> REGIONS =
      Map.of("e1", EAST, "e2", EAST, "w1", WEST, "w2", WEST);
  private static final List<String> ZONES = List.of("e1", "e2", "w1", "w2");
  private static final int ENGINES_PER_ZONE = 3;
  private static final int PROGRAMS = 60;
  private static final long CORDON_MILLIS = 5_000;
  private static final long COLD_START_MILLIS = 3_000;
  private static final double COLD_PER_SECOND = 29;
  private static final ColdBounds COLD = new ColdBounds(1.5, 5);
  private static final GatewayConfiguration CONFIGURATION =
      new GatewayConfiguration(
          1,
          List.of(),
          List.of(new ServiceProfile("s", 9, 1, COLD_START_MILLIS, COLD_PER_SECOND)),
          RequestLimits.DEFAULT);
  private static final double COLD_BOUND = COLD_PER_SECOND * 1.5 + 5;

  private final TestingEventLoop eventLoop = new TestingEventLoop();
  private final List<Node> nodes = new ArrayList<>();

  /** One node's directory and placement. */
  private final class Node {
    private final EngineDirectory engines = new EngineDirectory(1);
    private final Placement placement;
    private boolean peersRead = true;

    Node(String zone, int number) {
      PeerAddress self = new PeerAddress("10.0.0." + number, 1);
      this.placement =
          new Placement(
              new Topology(zone, REGIONS),
              new PlacementBounds(CORDON_MILLIS, COLD),
              engines,
              () -> CONFIGURATION,
              self,
              () -> peersRead ? Optional.of(others(self)) : Optional.empty(),
              eventLoop,
              new SplittableRandom(number),
              new GatewayMetrics(),
              (event, fields) -> {});
      for (String engineZone : ZONES) {
        for (int i = 0; i < ENGINES_PER_ZONE; i++) {
          engines.put(record(engineZone + '-' + i, engineZone, 0), eventLoop.nanoTime());
        }
      }
      placement.cordons().recordProof(eventLoop.nanoTime());
    }

    Engine engine(String id) {
      return engines.find(new EngineId(id));
    }

    Choice choose(Criteria criteria) {
      return placement.selector().choose(criteria, Set.of(), eventLoop.nanoTime());
    }

    String zoneFor(Criteria criteria) {
      Choice choice = choose(criteria);
      return choice == null ? null : choice.engine().record().zone();
    }

    void makeAllCold(long millis) {
      for (String engineZone : ZONES) {
        for (int i = 0; i < ENGINES_PER_ZONE; i++) {
          engines.put(record(engineZone + '-' + i, engineZone, millis), eventLoop.nanoTime());
        }
      }
    }
  }

  private static EngineRecord record(String id, String zone, long coldMillis) {
    return new EngineRecord(id, "s", "10.1.0.1", 80, zone, 8, false, coldMillis);
  }

  private List<PeerAddress> others(PeerAddress self) {
    List<PeerAddress> all = new ArrayList<>();
    for (int i = 0; i < nodes.size(); i++) {
      PeerAddress address = new PeerAddress("10.0.0." + i, 1);
      if (!address.equals(self)) {
        all.add(address);
      }
    }
    return all;
  }

  private Node node(String zone) {
    Node node = new Node(zone, nodes.size());
    nodes.add(node);
    return node;
  }

  private static List<PromptPart> prompt(String program) {
    return List.of(new PromptPart("shared", 12_600), new PromptPart(program, 1_000));
  }

  private static Criteria turn(String program) {
    return new Criteria("s", prompt(program), program, false);
  }

  private static Criteria turnIn(String program, Residency regions) {
    return new Criteria("s", prompt(program), program, false, regions);
  }

  // Regions.

  @ParameterizedTest
  @ValueSource(strings = {"e1", "w2"})
  void homeEnginesAreInTheNodesRegionAndTheSameAtEachNode(String zone) {
    Node node = node(zone);
    Node other = node(zone.charAt(0) + "1");
    for (int i = 0; i < PROGRAMS; i++) {
      Choice choice = node.choose(turn("p" + i));
      assertTrue(choice.locality().inRegion());
      assertEquals(
          choice.engine().record().id(), other.choose(turn("p" + i)).engine().record().id());
    }
  }

  @Test
  void aRegionWithoutEnginesUsesAnother() {
    Node node = node("e1");
    for (String zone : List.of("e1", "e2")) {
      for (int i = 0; i < ENGINES_PER_ZONE; i++) {
        node.engines.remove(zone + '-' + i, 0, eventLoop.nanoTime());
      }
    }
    Choice choice = node.choose(turn("p"));
    assertEquals(Locality.OTHER_REGION, choice.locality());
    assertTrue(choice.inRegionMillis() < 0);
  }

  @Test
  void aConversationLeavesItsRegionOnlyForALongWaitAndReturns() {
    Node node = node("e1");
    Criteria turn = turn("p");
    node.placement.roundTrips().observe("w1", 40, 0);
    node.placement.roundTrips().observe("w2", 40, 0);
    observePrefillRate(node, 0.0018);
    observeWaitInTheEast(node, 60);
    assertTrue(node.choose(turn).locality().inRegion(), "a short wait");
    observeWaitInTheEast(node, 2_000);
    Choice spilled = node.choose(turn);
    assertEquals(Locality.OTHER_REGION, spilled.locality());
    assertTrue(spilled.inRegionMillis() > spilled.predictedMillis());
    spilled.engine().cachedPrefixes().add(prompt("p"));
    eventLoop.advance(2_000);
    assertTrue(node.choose(turn).locality().inRegion(), "after the wait");
  }

  private static void observePrefillRate(Node node, double millisPerToken) {
    for (int i = 0; i < 100; i++) {
      int tokens = i % 2 * 10_000;
      node.engine("e1-0").performance().observeFirstEvent(tokens, 15 + tokens * millisPerToken);
    }
  }

  private void observeWaitInTheEast(Node node, double millis) {
    for (String zone : List.of("e1", "e2")) {
      for (int i = 0; i < ENGINES_PER_ZONE; i++) {
        for (int times = 0; times < 20; times++) {
          node.engine(zone + '-' + i).observeWait(millis, eventLoop.nanoTime());
        }
      }
    }
  }

  // Cordoned zones.

  @Test
  void newWorkAvoidsACordonedZone() {
    Node node = node("e1");
    node.placement.cordons().cordon("e1", 5);
    for (int i = 0; i < PROGRAMS; i++) {
      assertEquals("e2", node.zoneFor(turn("p" + i)));
      assertNotEquals("e1", node.zoneFor(new Criteria("s", List.of(), null, true)));
    }
  }

  @Test
  void conversationsLeaveACordonedZoneSpreadOverHalfTheBound() {
    Node node = node("e1");
    Set<String> inZone = new HashSet<>();
    for (int i = 0; i < PROGRAMS; i++) {
      Choice choice = node.choose(turn("p" + i));
      choice.engine().cachedPrefixes().add(prompt("p" + i));
      if (choice.engine().record().zone().equals("e1")) {
        inZone.add("p" + i);
      }
    }
    node.placement.cordons().cordon("e1", 5);
    int atFirst = stillInZone(node, inZone);
    eventLoop.advance(CORDON_MILLIS / 4);
    int halfway = stillInZone(node, inZone);
    eventLoop.advance(CORDON_MILLIS / 4);
    assertTrue(atFirst > halfway && halfway > 0, atFirst + " then " + halfway);
    assertEquals(0, stillInZone(node, inZone));
  }

  private static int stillInZone(Node node, Set<String> programs) {
    return (int) programs.stream().filter(p -> "e1".equals(node.zoneFor(turn(p)))).count();
  }

  @Test
  void withAllZonesOfARegionCordonedTheOtherRegionServes() {
    Node node = node("e1");
    node.placement.cordons().replaceAll(Map.of("e1", 5L, "e2", 6L));
    assertEquals(Locality.OTHER_REGION, node.choose(turn("p")).locality());
  }

  @Test
  void withAllZonesCordonedNothingIsSent() {
    Node node = node("e1");
    Map<String, Long> all = new HashMap<>();
    ZONES.forEach(zone -> all.put(zone, 5L));
    node.placement.cordons().replaceAll(all);
    assertNull(node.choose(turn("p")));
  }

  @Test
  void programsReturnHomeGraduallyWhenACordonEnds() {
    Node node = node("e1");
    Map<String, String> before = new HashMap<>();
    for (int i = 0; i < PROGRAMS; i++) {
      before.put("p" + i, node.choose(turn("p" + i)).engine().record().id());
    }
    node.placement.cordons().cordon("e1", 5);
    eventLoop.advance(CORDON_MILLIS);
    node.placement.cordons().lift("e1");
    int atOnce = atHome(node, before);
    eventLoop.advance(COLD_START_MILLIS / 2);
    int halfway = atHome(node, before);
    eventLoop.advance(COLD_START_MILLIS / 2);
    assertTrue(atOnce < halfway && halfway < PROGRAMS, atOnce + " then " + halfway);
    assertEquals(PROGRAMS, atHome(node, before));
  }

  private static int atHome(Node node, Map<String, String> homes) {
    return (int)
        homes.entrySet().stream()
            .filter(e -> node.choose(turn(e.getKey())).engine().record().id().equals(e.getValue()))
            .count();
  }

  // Residency.

  @ParameterizedTest(name = "{0} from {1}: {2}")
  @CsvSource({"west, e1, w", "east, w2, e", "west, w1, w"})
  void aBoundRequestRunsInItsRegion(String region, String zone, String expected) {
    Node node = node(zone);
    Residency bound = Residency.of(List.of(new RegionId(region)));
    for (int i = 0; i < PROGRAMS; i++) {
      assertTrue(node.zoneFor(turnIn("p" + i, bound)).startsWith(expected));
    }
  }

  @Test
  void aBoundRequestWithoutAnAllowedEngineIsNotSent() {
    Node node = node("e1");
    Residency east = Residency.of(List.of(EAST));
    assertNull(node.choose(turnIn("p", east.and(Residency.of(List.of(WEST))))));
    assertNull(node.choose(turnIn("p", Residency.of(List.of(new RegionId("north"))))));
    node.placement.cordons().replaceAll(Map.of("e1", 5L, "e2", 6L));
    assertNull(node.choose(turnIn("p", east)));
    assertNotNull(node.choose(turn("p")));
  }

  @Test
  void aBoundRequestIsNotSentToAnEngineOfAnUnknownZone() {
    Node node = node("e1");
    node.engines.put(record("stray", "nowhere", 0), eventLoop.nanoTime());
    for (int i = 0; i < ENGINES_PER_ZONE; i++) {
      node.engines.remove("e1-" + i, 0, eventLoop.nanoTime());
      node.engines.remove("e2-" + i, 0, eventLoop.nanoTime());
    }
    assertNull(node.choose(turnIn("p", Residency.of(List.of(EAST)))));
    assertEquals("nowhere", node.zoneFor(turn("p")));
  }

  // Cold engines.

  @Test
  void aColdEngineGetsNoRequestsWhileAWarmOneAcceptsWork() {
    Node node = node("e1");
    for (int i = 0; i < ENGINES_PER_ZONE; i++) {
      node.engines.put(record("e1-" + i, "e1", COLD_START_MILLIS), eventLoop.nanoTime());
    }
    for (int i = 0; i < PROGRAMS; i++) {
      assertNotEquals("e1", node.zoneFor(turn("p" + i)));
      assertNotEquals("e1", node.zoneFor(new Criteria("s", List.of(), null, true)));
    }
    eventLoop.advance(2 * COLD_START_MILLIS);
    Set<String> zones = new HashSet<>();
    for (int i = 0; i < PROGRAMS; i++) {
      zones.add(node.zoneFor(turn("p" + i)));
    }
    assertTrue(zones.contains("e1"), "warm again");
  }

  /** All engines turn cold while all nodes send many requests. */
  @ParameterizedTest(name = "{0} nodes")
  @ValueSource(ints = {1, 12, 67, 120})
  void allNodesTogetherKeepTheBoundOfEachColdEngine(int count) {
    for (int i = 0; i < count; i++) {
      node(ZONES.get(i % ZONES.size()));
    }
    nodes.forEach(node -> node.makeAllCold(5_000));
    Map<String, List<Long>> sends = new HashMap<>();
    int sent = 0;
    for (int step = 0; step < 200; step++) {
      for (Node node : nodes) {
        Choice choice = node.choose(turn("p" + step));
        if (choice != null) {
          sent++;
          sends
              .computeIfAbsent(choice.engine().record().id(), id -> new ArrayList<>())
              .add(eventLoop.nanoTime());
        }
      }
      eventLoop.advance(20);
    }
    assertTrue(sent > 0, "cold engines run requests if there is no other");
    sends.forEach((engine, times) -> assertTrue(most(times) <= COLD_BOUND, engine + times.size()));
  }

  private static int most(List<Long> times) {
    int most = 0;
    for (int first = 0, last = 0; last < times.size(); last++) {
      while (times.get(last) - times.get(first) >= 1_000_000_000L) {
        first++;
      }
      most = Math.max(most, last - first + 1);
    }
    return most;
  }

  @Test
  void aNodeThatDoesNotKnowItsPeersSendsNothingToColdEngines() {
    Node node = node("e1");
    node.peersRead = false;
    node.makeAllCold(5_000);
    assertNull(node.choose(turn("p")));
    node.peersRead = true;
    assertNotNull(node.choose(turn("p")));
  }

  @Test
  void anEngineMayTurnColdAtAnyMoment() {
    Node node = node("e1");
    Engine home = node.choose(turn("p")).engine();
    EngineRecord warm = home.record();
    node.engines.put(record(warm.id(), warm.zone(), 1_000), eventLoop.nanoTime());
    assertNotEquals(warm.id(), node.choose(turn("p")).engine().record().id());
    assertFalse(home.warmForNanos(eventLoop.nanoTime()) > 0);
  }
}
