package org.baykeel.gateway.topology;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the round trip to each zone from the time that connections take to set up. Used only
 * from the event loop.
 *
 * <p>An estimate follows the fastest observations, because queues and busy machines only ever add
 * to the network latency.
 */
public final class RoundTrips {
  /** Weight of an observation below the estimate; one above it has a twentieth of the weight. */
  private static final double FALL_WEIGHT = 0.5;

  private static final double RISE_WEIGHT = 0.025;

  /** Observations are capped at this multiple of the estimate, since outliers are not latency. */
  private static final double MAX_OBSERVATION_FACTOR = 4;

  private final Topology topology;
  private final Map<String, Estimate> byZone = new HashMap<>();

  private static final class Estimate {
    private double millis;
    private long observedNanos;
  }

  /** Creates estimates that are the assumed round trips until an observation is made. */
  public RoundTrips(Topology topology) {
    this.topology = topology;
  }

  /**
   * Records a measured round trip.
   *
   * @param zone the zone of the other end
   * @param millis the round trip in milliseconds
   */
  public void observe(String zone, double millis, long nowNanos) {
    Estimate estimate = byZone.get(zone);
    if (estimate == null) {
      estimate = new Estimate();
      estimate.millis = millis;
      byZone.put(zone, estimate);
    } else {
      double capped = Math.min(millis, estimate.millis * MAX_OBSERVATION_FACTOR);
      double weight = capped < estimate.millis ? FALL_WEIGHT : RISE_WEIGHT;
      estimate.millis += weight * (capped - estimate.millis);
    }
    estimate.observedNanos = nowNanos;
  }

  /** Returns the round trip to a zone in milliseconds; the assumed one if none was observed. */
  public double millisTo(String zone) {
    Estimate estimate = byZone.get(zone);
    return estimate == null ? topology.localityOf(zone).assumedRoundTripMillis() : estimate.millis;
  }

  /**
   * Returns the longest round trip to a zone of the locality in ms, for metrics and time limits.
   */
  public double millisTo(Locality locality) {
    double longest = -1;
    for (Map.Entry<String, Estimate> entry : byZone.entrySet()) {
      if (topology.localityOf(entry.getKey()) == locality) {
        longest = Math.max(longest, entry.getValue().millis);
      }
    }
    return longest < 0 ? locality.assumedRoundTripMillis() : longest;
  }

  /** Returns the age in milliseconds of the oldest estimate of each locality that has one. */
  public Map<Locality, Long> oldestAgesMillis(long nowNanos) {
    Map<Locality, Long> ages = new EnumMap<>(Locality.class);
    byZone.forEach(
        (zone, estimate) ->
            ages.merge(
                topology.localityOf(zone),
                (nowNanos - estimate.observedNanos) / 1_000_000,
                Math::max));
    return ages;
  }
}
