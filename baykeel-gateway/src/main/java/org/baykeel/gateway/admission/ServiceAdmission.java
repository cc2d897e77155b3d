package org.baykeel.gateway.admission;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.baykeel.gateway.directory.EngineDirectory;
import org.baykeel.gateway.directory.ServicePerformance;

/** The kinds of programs whose turns run at one service, and their shares. */
final class ServiceAdmission {
  /** Below this part of its places in use a service has room for any program. */
  private static final double ROOMY_OCCUPANCY = 0.7;

  /** The same where its load is unknown: a wait below this part of the wanted first answer. */
  private static final double ROOMY_TARGETS = 0.25;

  /** No kind gets less than this part of the share of the most urgent one. */
  private static final double LEAST_OF_MOST_URGENT = 0.25;

  private static final long LOOK_EVERY_NANOS = 20_000_000L;

  private final String service;
  private final EngineDirectory engines;
  private final RandomGenerator random;
  private final LocalWaitEstimate ownWait = new LocalWaitEstimate();
  private final Map<Key, RouteAdmission> kinds = new LinkedHashMap<>();
  private final UtilizationTrend trend = new UtilizationTrend();
  private ServiceCapacity room = ServiceCapacity.UNKNOWN;
  private boolean looked;
  private long lookedNanos;

  private record Key(String kind, int rank) {}

  ServiceAdmission(String service, EngineDirectory engines, RandomGenerator random) {
    this.service = service;
    this.engines = engines;
    this.random = random;
  }

  LocalWaitEstimate ownWait() {
    return ownWait;
  }

  ServiceCapacity room() {
    return room;
  }

  RouteAdmission kind(AdmissionRequest opening, ProgramProfile profile) {
    return kinds.computeIfAbsent(
        new Key(opening.kind(), opening.rank()),
        key -> new RouteAdmission(key.kind(), key.rank(), profile, random.nextDouble()));
  }

  /** Notes how long a request waited at an engine beyond what its prompt explains. */
  void observeWait(double millis, long nowNanos) {
    ownWait.observe(millis, nowNanos);
    look(nowNanos);
  }

  private void look(long nowNanos) {
    if (looked && nowNanos - lookedNanos < LOOK_EVERY_NANOS) {
      return;
    }
    looked = true;
    lookedNanos = nowNanos;
    ServiceCapacity seen = ServiceCapacity.of(engines.ofService(service), nowNanos);
    if (seen.known()) {
      trend.sample(seen.requestsPerPlace(), nowNanos);
      room = seen.grownBy(trend.growth(seen.ageMillis() * 1e6));
    } else {
      room = seen;
    }
  }

  /**
   * The share of a kind's programs that may begin now. The shares of the other kinds follow too,
   * since a kind never gets more than a more urgent one.
   */
  double share(RouteAdmission asking, long targetMillis, long nowNanos) {
    asking.asked(targetMillis, nowNanos);
    look(nowNanos);
    double waitMillis = waitMillis(nowNanos);
    ServicePerformance performance = engines.performanceOf(service);
    for (RouteAdmission kind : kinds.values()) {
      if (kind.recent(nowNanos)) {
        boolean roomy = roomy(kind, nowNanos);
        kind.follow(performance, waitMillis, room.recent(), roomy, nowNanos);
      }
    }
    return roomy(asking, nowNanos) ? 1 : ranked(asking, nowNanos);
  }

  private double waitMillis(long nowNanos) {
    double own = room.recent() ? ownWait.observedMillis(nowNanos) : ownWait.presentMillis(nowNanos);
    double work = DurationPrediction.workMillis(engines.performanceOf(service));
    return Math.max(own, room.waitingPerPlace() * work);
  }

  private boolean roomy(RouteAdmission kind, long nowNanos) {
    boolean here =
        room.recent()
            ? room.occupancy() < ROOMY_OCCUPANCY
            : ownWait.presentMillis(nowNanos)
                < strictestTargetMillis(kind, nowNanos) * ROOMY_TARGETS;
    return here && toolsRoomy(kind, nowNanos);
  }

  /** What is no room for a more urgent kind is none for this one. */
  private long strictestTargetMillis(RouteAdmission kind, long nowNanos) {
    long strictest = kind.targetMillis();
    for (RouteAdmission other : kinds.values()) {
      if (other.recent(nowNanos) && other.rank() <= kind.rank()) {
        strictest = Math.min(strictest, other.targetMillis());
      }
    }
    return strictest;
  }

  private boolean toolsRoomy(RouteAdmission kind, long nowNanos) {
    for (String tool : kind.profile().toolServices()) {
      ServiceCapacity there = ServiceCapacity.of(engines.ofService(tool), nowNanos);
      if (there.known() && there.occupancy() >= ROOMY_OCCUPANCY) {
        return false;
      }
    }
    return true;
  }

  private double ranked(RouteAdmission asking, long nowNanos) {
    double least = asking.ownShare();
    RouteAdmission mostUrgent = asking;
    for (RouteAdmission other : kinds.values()) {
      if (other.recent(nowNanos) && other.rank() <= asking.rank()) {
        least = Math.min(least, other.ownShare());
        mostUrgent = other.rank() < mostUrgent.rank() ? other : mostUrgent;
      }
    }
    return Math.max(least, mostUrgent.ownShare() * LEAST_OF_MOST_URGENT);
  }
}
