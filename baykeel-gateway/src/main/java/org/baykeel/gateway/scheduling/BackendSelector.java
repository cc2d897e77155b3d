package org.baykeel.gateway.scheduling;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.baykeel.gateway.configuration.Backend;
import org.baykeel.gateway.configuration.Route;

/**
 * Distributes the requests of a route over its services by weight. Requests with the same key (a
 * conversation or an object) always go to the same service. Requests without a key use smooth
 * weighted round robin, which keeps the shares exact over any sequence of requests.
 */
public final class BackendSelector {
  private final Map<String, long[]> creditByRoute = new HashMap<>();

  /**
   * Returns the service for a request.
   *
   * @param key requests with the same key go to the same service; null if the request has none
   */
  public String choose(Route route, String key) {
    List<Backend> backends = route.backends();
    if (backends.size() == 1) {
      return backends.get(0).service();
    }
    int total = totalWeight(backends);
    if (total <= 0) {
      return backends.get(0).service();
    }
    return key == null ? selectByRoundRobin(route, total) : selectByKey(backends, total, key);
  }

  private static String selectByKey(List<Backend> backends, int total, String key) {
    int point = Math.floorMod(StableHash.of(key), total);
    for (Backend backend : backends) {
      point -= backend.weight();
      if (point < 0) {
        return backend.service();
      }
    }
    return backends.get(0).service();
  }

  private String selectByRoundRobin(Route route, int total) {
    List<Backend> backends = route.backends();
    long[] credit = creditByRoute.get(route.name());
    if (credit == null || credit.length != backends.size()) {
      credit = new long[backends.size()];
      creditByRoute.put(route.name(), credit);
    }
    int best = -1;
    for (int i = 0; i < credit.length; i++) {
      credit[i] += backends.get(i).weight();
      if (backends.get(i).weight() > 0 && (best < 0 || credit[i] > credit[best])) {
        best = i;
      }
    }
    credit[best] -= total;
    return backends.get(best).service();
  }

  private static int totalWeight(List<Backend> backends) {
    int total = 0;
    for (Backend backend : backends) {
      total += backend.weight();
    }
    return total;
  }
}
