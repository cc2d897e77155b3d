package org.baykeel.gateway.topology;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;

/**
 * The time to each zone and back, learnt from connections that are set up anyway. Used only from
 * the event loop.
 *
 * <p>The fastest of recent observations counts, since whatever else an observation holds, such as a
 * queue or a busy machine, only adds to the way.
 */
public final class RoundTrips {
  /** An estimate falls this fast to an observation below it, and rises a twentieth as fast. */
  private static final double FALL_WEIGHT = 0.5;

  private static final double RISE_WEIGHT = 0.025;

  /** One observation counts at most as this multiple of the estimate: an outlier is no distance. */
  private static final double MAX_OBSERVATION_FACTOR = 4;

  private final Topology topology;
  private final Map<String, Estimate> byZone = new HashMap<>();

  private static final class Estimate {
    private double millis;
    private long observedNanos;
  }

  /** Creates estimates that are assumptions until something is observed. */
  public RoundTrips(Topology topology) {
    this.topology = topology;
  }

  /**
   * Notes one way there and back.
   *
   * @param zone where the other end is
   * @param millis how long it took
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

  /** The time to a zone and back in milliseconds; an assumption if none was observed. */
  public double millisTo(String zone) {
    Estimate estimate = byZone.get(zone);
    return estimate == null ? topology.localityOf(zone).assumedRoundTripMillis() : estimate.millis;
  }

  /** The longest time there and back by relation, in milliseconds, for metrics and bounds. */
  public double millisTo(Locality locality) {
    double longest = -1;
    for (Map.Entry<String, Estimate> entry : byZone.entrySet()) {
      if (topology.localityOf(entry.getKey()) == locality) {
        longest = Math.max(longest, entry.getValue().millis);
      }
    }
    return longest < 0 ? locality.assumedRoundTripMillis() : longest;
  }

  /** The age of the oldest estimate by relation, in milliseconds; nothing where none was made. */
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
