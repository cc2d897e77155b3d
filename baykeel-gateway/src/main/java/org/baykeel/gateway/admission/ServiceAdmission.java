package org.baykeel.gateway.admission;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.baykeel.gateway.directory.EngineDirectory;
import org.baykeel.gateway.directory.ServicePerformance;

/** The admission state of all routes whose turns run at one service. */
final class ServiceAdmission {
  /** While the occupancy of the service is below this bound, it has capacity for any program. */
  private static final double SPARE_OCCUPANCY = 0.7;

  /**
   * The same bound while there are no recent load reports: a wait below this multiple of the
   * response target.
   */
  private static final double SPARE_WAIT_TARGETS = 0.25;

  /** Every route gets at least this part of the share of the most urgent one. */
  private static final double MIN_PART_OF_MOST_URGENT = 0.25;

  private static final long REFRESH_INTERVAL_NANOS = 20_000_000L;

  private final String service;
  private final EngineDirectory engines;
  private final RandomGenerator random;
  private final LocalWaitEstimate localWait = new LocalWaitEstimate();
  private final Map<Key, RouteAdmission> routes = new LinkedHashMap<>();
  private final UtilizationTrend trend = new UtilizationTrend();
  private ServiceCapacity capacity = ServiceCapacity.UNKNOWN;
  private boolean refreshed;
  private long refreshedNanos;

  /** The requests of a route with a rank. */
  private record Key(String route, int rank) {
    @Override
    public boolean equals(Object other) {
      return other instanceof Key key && rank == key.rank && route.equals(key.route);
    }

    @Override
    public int hashCode() {
      return 31 * route.hashCode() + rank;
    }
  }

  ServiceAdmission(String service, EngineDirectory engines, RandomGenerator random) {
    this.service = service;
    this.engines = engines;
    this.random = random;
  }

  LocalWaitEstimate localWait() {
    return localWait;
  }

  ServiceCapacity capacity() {
    return capacity;
  }

  RouteAdmission routeAdmission(AdmissionRequest request, ProgramProfile profile) {
    return routes.computeIfAbsent(
        new Key(request.route(), request.rank()),
        key -> new RouteAdmission(key.route(), key.rank(), profile, random.nextDouble()));
  }

  /** Records how long a request waited at an engine beyond the time that its prompt explains. */
  void observeWait(double millis, long nowNanos) {
    localWait.observe(millis, nowNanos);
    refreshCapacity(nowNanos);
  }

  private void refreshCapacity(long nowNanos) {
    if (refreshed && nowNanos - refreshedNanos < REFRESH_INTERVAL_NANOS) {
      return;
    }
    refreshed = true;
    refreshedNanos = nowNanos;
    ServiceCapacity current = ServiceCapacity.of(engines.ofService(service), nowNanos);
    if (current.known()) {
      trend.sample(current.requestsPerSlot(), nowNanos);
      capacity = current.withGrowth(trend.growth(current.ageMillis() * 1e6));
    } else {
      capacity = current;
    }
  }

  /**
   * Returns the share of a route's programs that may start now. The shares of the other routes are
   * updated too, since without spare capacity a route never gets a larger share than a more urgent
   * one.
   */
  double share(RouteAdmission requesting, long responseTargetMillis, long nowNanos) {
    requesting.onRequest(responseTargetMillis, nowNanos);
    refreshCapacity(nowNanos);
    double waitMillis = waitMillis(nowNanos);
    ServicePerformance performance = engines.performanceOf(service);
    for (RouteAdmission route : routes.values()) {
      if (route.active(nowNanos)) {
        boolean hasCapacity = hasSpareCapacity(route, nowNanos);
        route.update(performance, waitMillis, capacity.recent(), hasCapacity, nowNanos);
      }
    }
    return hasSpareCapacity(requesting, nowNanos) ? 1 : shareByRank(requesting, nowNanos);
  }

  private double waitMillis(long nowNanos) {
    double own =
        capacity.recent() ? localWait.observedMillis(nowNanos) : localWait.currentMillis(nowNanos);
    double work = DurationPrediction.workMillis(engines.performanceOf(service));
    return Math.max(own, capacity.waitingPerSlot() * work);
  }

  private boolean hasSpareCapacity(RouteAdmission route, long nowNanos) {
    boolean serviceHasCapacity =
        capacity.recent()
            ? capacity.occupancy() < SPARE_OCCUPANCY
            : localWait.currentMillis(nowNanos)
                < lowestTargetMillis(route, nowNanos) * SPARE_WAIT_TARGETS;
    return serviceHasCapacity && toolsHaveSpareCapacity(route, nowNanos);
  }

  /**
   * The lowest response target among this route and those at least as urgent: a wait that leaves no
   * capacity for a more urgent route leaves none for this one.
   */
  private long lowestTargetMillis(RouteAdmission route, long nowNanos) {
    long lowest = route.responseTargetMillis();
    for (RouteAdmission other : routes.values()) {
      if (other.active(nowNanos) && other.rank() <= route.rank()) {
        lowest = Math.min(lowest, other.responseTargetMillis());
      }
    }
    return lowest;
  }

  private boolean toolsHaveSpareCapacity(RouteAdmission route, long nowNanos) {
    for (String tool : route.profile().toolServices()) {
      ServiceCapacity toolCapacity = ServiceCapacity.of(engines.ofService(tool), nowNanos);
      if (toolCapacity.known() && toolCapacity.occupancy() >= SPARE_OCCUPANCY) {
        return false;
      }
    }
    return true;
  }

  private double shareByRank(RouteAdmission requesting, long nowNanos) {
    double least = requesting.ownShare();
    RouteAdmission mostUrgent = requesting;
    for (RouteAdmission other : routes.values()) {
      if (other.active(nowNanos) && other.rank() <= requesting.rank()) {
        least = Math.min(least, other.ownShare());
        mostUrgent = other.rank() < mostUrgent.rank() ? other : mostUrgent;
      }
    }
    return Math.max(least, mostUrgent.ownShare() * MIN_PART_OF_MOST_URGENT);
  }
}
