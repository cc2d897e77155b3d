package org.baykeel.gateway.topology;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class TestTopology {
  private static final Topology TOPOLOGY =
      new Topology(
          "e1",
          Map.of(
              "e1", new RegionId("east"),
              "e2", new RegionId("east"),
              "w1", new RegionId("west")));

  @ParameterizedTest(name = "{0}: {1}")
  @CsvSource({"e1, SAME_ZONE", "e2, SAME_REGION", "w1, OTHER_REGION", "unknown, SAME_REGION"})
  void localityFollowsTheRegionsOfZones(String zone, Locality locality) {
    assertEquals(locality, TOPOLOGY.localityOf(zone));
  }

  @Test
  void withoutAMappingAllZonesAreInOneRegion() {
    Topology topology = Topology.ofOneRegion("a");
    assertEquals(Locality.SAME_REGION, topology.localityOf("b"));
    assertEquals(false, topology.severalRegions());
    assertEquals(true, TOPOLOGY.severalRegions());
  }

  @Test
  void aRoundTripIsAssumedUntilItIsMeasured() {
    RoundTrips roundTrips = new RoundTrips(TOPOLOGY);
    assertEquals(Locality.OTHER_REGION.assumedRoundTripMillis(), roundTrips.millisTo("w1"));
    roundTrips.observe("w1", 61, 5_000_000);
    assertEquals(61, roundTrips.millisTo("w1"));
    assertEquals(61, roundTrips.millisTo(Locality.OTHER_REGION));
    assertEquals(Map.of(Locality.OTHER_REGION, 2L), roundTrips.oldestAgesMillis(7_000_000));
  }

  @Test
  void estimatesFollowTheFastestObservationsAndNotOutliers() {
    RoundTrips roundTrips = new RoundTrips(TOPOLOGY);
    for (int i = 0; i < 50; i++) {
      roundTrips.observe("w1", i % 10 == 9 ? 300 : 41, i);
    }
    assertTrue(roundTrips.millisTo("w1") < 50, "is " + roundTrips.millisTo("w1"));
  }

  @Test
  void estimatesRiseToALongerRoundTrip() {
    RoundTrips roundTrips = new RoundTrips(TOPOLOGY);
    roundTrips.observe("w1", 10, 0);
    for (int i = 0; i < 200; i++) {
      roundTrips.observe("w1", 80, i);
    }
    assertEquals(80, roundTrips.millisTo("w1"), 5);
  }
}
