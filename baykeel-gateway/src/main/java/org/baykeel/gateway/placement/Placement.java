package org.baykeel.gateway.placement;

import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.baykeel.gateway.configuration.GatewayConfiguration;
import org.baykeel.gateway.configuration.ServiceProfile;
import org.baykeel.gateway.cordon.CordonPolicy;
import org.baykeel.gateway.cordon.ZoneCordons;
import org.baykeel.gateway.directory.EngineDirectory;
import org.baykeel.gateway.peer.PeerAddress;
import org.baykeel.gateway.runtime.EventLoop;
import org.baykeel.gateway.scheduling.EngineSelector;
import org.baykeel.gateway.scheduling.MemoryPolicy;
import org.baykeel.gateway.scheduling.SlowHomePolicy;
import org.baykeel.gateway.telemetry.GatewayLog;
import org.baykeel.gateway.telemetry.GatewayMetrics;
import org.baykeel.gateway.topology.Locality;
import org.baykeel.gateway.topology.RoundTrips;
import org.baykeel.gateway.topology.Topology;
import org.baykeel.gateway.warmup.WarmupPolicy;

/** The engine selection of one node, with its policies and their state. */
public final class Placement {
  private final Topology topology;
  private final RoundTrips roundTrips;
  private final ZoneCordons cordons;
  private final EngineSelector selector;

  /**
   * Creates a placement without cordons and without measured round trips.
   *
   * @param topology the zones, their regions and the zone of this node
   * @param configuration the configuration in force, or null if none is known
   * @param self this node
   * @param peers the other nodes; empty until they have been read
   * @param random breaks ties
   * @param metrics receives metrics on round trips, cordons and cold engines
   */
  @SuppressWarnings("ParameterNumber")
  public Placement(
      Topology topology,
      PlacementBounds bounds,
      EngineDirectory engines,
      Supplier<GatewayConfiguration> configuration,
      PeerAddress self,
      Supplier<Optional<Collection<PeerAddress>>> peers,
      EventLoop eventLoop,
      RandomGenerator random,
      GatewayMetrics metrics,
      GatewayLog log) {
    this.topology = topology;
    this.roundTrips = new RoundTrips(topology);
    this.cordons = new ZoneCordons(bounds.cordonMillis(), eventLoop, log);
    WarmupPolicy warmup =
        new WarmupPolicy(
            bounds.cold(),
            service -> profile(configuration.get(), service),
            cordons,
            self,
            peers,
            log);
    this.selector =
        new EngineSelector(
            engines,
            topology,
            roundTrips,
            List.of(
                new CordonPolicy(cordons),
                new ResidencyPolicy(topology),
                warmup,
                new MemoryPolicy(),
                new SlowHomePolicy(log)),
            random);
    register(metrics, warmup, eventLoop);
  }

  private static Optional<ServiceProfile> profile(GatewayConfiguration inForce, String service) {
    return Optional.ofNullable(inForce).map(known -> known.service(service));
  }

  private void register(GatewayMetrics metrics, WarmupPolicy warmup, EventLoop eventLoop) {
    metrics.gauge("baykeel_gateway_zones_cordoned", cordons::count);
    metrics.gauge("baykeel_gateway_cold_engine_sends", warmup::sentWhileCold);
    metrics.gauge("baykeel_gateway_cold_engine_held_back", warmup::heldBack);
    for (Locality locality : Locality.values()) {
      String name = "baykeel_gateway_round_trip_" + locality.name().toLowerCase(Locale.ROOT);
      metrics.gauge(
          name + "_microseconds", () -> Math.round(roundTrips.millisTo(locality) * 1_000));
      metrics.gauge(
          name + "_age_milliseconds",
          () -> roundTrips.oldestAgesMillis(eventLoop.nanoTime()).getOrDefault(locality, -1L));
    }
  }

  /** Returns the zones, their regions and the zone of this node. */
  public Topology topology() {
    return topology;
  }

  /** Returns the measured round trips to the zones. */
  public RoundTrips roundTrips() {
    return roundTrips;
  }

  /** Returns the cordoned zones. */
  public ZoneCordons cordons() {
    return cordons;
  }

  /** Returns the engine selector. */
  public EngineSelector selector() {
    return selector;
  }
}
