package org.baykeel.gateway.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import org.baykeel.gateway.residency.Residency;
import org.junit.jupiter.api.Test;

class TestGatewayConfiguration {
  private final GatewayConfiguration configuration =
      new GatewayConfiguration(
          1,
          List.of(route("short", "h", "/a/"), route("long", "h", "/a/b/"), route("x", "x", "/")),
          List.of(),
          RequestLimits.DEFAULT);

  private static Route route(String name, String host, String prefix) {
    List<Backend> backends = List.of(new Backend("s", 1));
    return new Route(
        name,
        host,
        prefix,
        RouteKind.SAFE,
        1,
        1,
        1,
        0,
        backends,
        1,
        false,
        0,
        false,
        false,
        false,
        Residency.ANY);
  }

  @Test
  void theLongestPrefixOfTheHostWins() {
    assertEquals("long", configuration.findRoute("h", "/a/b/c").name());
    assertEquals("short", configuration.findRoute("h", "/a/c").name());
    assertEquals("short", configuration.findRoute("H:8080", "/a/bb").name());
  }

  @Test
  void noRouteOfAnotherHostApplies() {
    assertNull(configuration.findRoute("h", "/c"));
    assertNull(configuration.findRoute("y", "/a/"));
    assertNull(configuration.findRoute("h", "/a"));
  }
}
