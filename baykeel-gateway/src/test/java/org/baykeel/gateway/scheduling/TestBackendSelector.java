package org.baykeel.gateway.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.baykeel.gateway.configuration.Backend;
import org.baykeel.gateway.configuration.Route;
import org.baykeel.gateway.configuration.RouteKind;
import org.baykeel.gateway.residency.Residency;
import org.junit.jupiter.api.Test;

class TestBackendSelector {
  private final BackendSelector selector = new BackendSelector();

  private static Route route(Backend... backends) {
    return new Route(
        "r",
        "h",
        "/",
        RouteKind.SAFE,
        1,
        1,
        1,
        0,
        List.of(backends),
        1,
        false,
        0,
        false,
        false,
        false,
        Residency.ANY);
  }

  private Map<String, Integer> shares(Route route, boolean keyed, int requests) {
    Map<String, Integer> shares = new HashMap<>();
    for (int i = 0; i < requests; i++) {
      shares.merge(selector.choose(route, keyed ? "key" + i : null), 1, Integer::sum);
    }
    return shares;
  }

  @Test
  void requestsWithoutKeyFollowTheWeightsExactly() {
    Map<String, Integer> shares =
        shares(route(new Backend("a", 90), new Backend("b", 10)), false, 100);
    assertEquals(90, shares.get("a"));
    assertEquals(10, shares.get("b"));
  }

  @Test
  void requestsWithKeysFollowTheWeightsApproximately() {
    Map<String, Integer> shares =
        shares(route(new Backend("a", 70), new Backend("b", 30)), true, 10_000);
    assertEquals(3_000, shares.get("b"), 200);
  }

  @Test
  void aKeyIsAlwaysSentToTheSameService() {
    Route route = route(new Backend("a", 50), new Backend("b", 50));
    String service = selector.choose(route, "k");
    for (int i = 0; i < 10; i++) {
      assertEquals(service, selector.choose(route, "k"));
    }
  }

  @Test
  void aServiceOfWeightZeroGetsNoRequests() {
    Route route = route(new Backend("a", 0), new Backend("b", 5));
    assertEquals(Map.of("b", 50), shares(route, false, 50));
  }
}
