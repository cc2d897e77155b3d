package org.baykeel.gateway.residency;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.baykeel.gateway.topology.RegionId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class TestResidency {
  private static Residency of(String names) {
    List<RegionId> regions = new ArrayList<>();
    for (String name : names.isEmpty() ? new String[0] : names.split(" ")) {
      regions.add(new RegionId(name));
    }
    return Residency.of(regions);
  }

  @ParameterizedTest(name = "route {0}, tenant {1}: east {2}, west {3}")
  @CsvSource({
    "'', '', true, true",
    "east, '', true, false",
    "'', west, false, true",
    "east west, east, true, false",
    "east, west, false, false",
    "east west, west east, true, true",
  })
  void bothBindingsApply(String route, String tenant, boolean east, boolean west) {
    Residency both = of(route).and(of(tenant));
    assertEquals(east, both.allows(new RegionId("east")));
    assertEquals(west, both.allows(new RegionId("west")));
    assertEquals(both, of(tenant).and(of(route)));
    assertEquals(!route.isEmpty() || !tenant.isEmpty(), both.bound());
  }
}
