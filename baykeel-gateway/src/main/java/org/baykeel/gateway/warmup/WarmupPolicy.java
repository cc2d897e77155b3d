package org.baykeel.gateway.warmup;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;
import org.baykeel.gateway.configuration.ServiceProfile;
import org.baykeel.gateway.cordon.ZoneCordons;
import org.baykeel.gateway.directory.Engine;
import org.baykeel.gateway.peer.PeerAddress;
import org.baykeel.gateway.scheduling.EnginePolicy;
import org.baykeel.gateway.scheduling.EngineSelector.Criteria;
import org.baykeel.gateway.scheduling.StableHash;
import org.baykeel.gateway.telemetry.GatewayEvent;
import org.baykeel.gateway.telemetry.GatewayLog;

/**
 * Protects cold engines. As long as a warm engine accepts work, a cold engine gets no requests.
 * Where all are cold, a few nodes may send to each of them, and each of these nodes sends a few
 * requests. When an engine is warm again, the programs whose home it is return one after the other
 * over its warm-up time, and so do those of a zone whose cordon ended.
 *
 * <p>Invariant: within any second the nodes that know an engine to be cold, and that know the same
 * peers, send it no more than its bound: at most {@link ColdBounds#nodes} of them send at most
 * {@link ColdBounds#PER_NODE} each. A node that does not know its peers yet sends nothing to a cold
 * engine.
 */
public final class WarmupPolicy implements EnginePolicy {
  /**
   * More than any wait at a warm engine, less than the penalty for an engine that has just failed.
   */
  private static final double COLD_PENALTY_MILLIS = 50_000;

  private static final long LOG_INTERVAL_NANOS = 1_000_000_000L;

  /**
   * More engines than are cold at the same time; when it is exceeded, the engine that was added
   * first is evicted.
   */
  private static final int MAX_COLD_ENGINES = 4_096;

  private final ColdBounds bounds;
  private final Function<String, Optional<ServiceProfile>> services;
  private final ZoneCordons cordons;
  private final PeerAddress self;
  private final Supplier<Optional<Collection<PeerAddress>>> peers;
  private final GatewayLog log;
  private final Map<String, ColdEngine> coldEngines =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, ColdEngine> eldest) {
          return size() > MAX_COLD_ENGINES;
        }
      };
  private long sentWhileCold;
  private long heldBack;

  /** This node's state for one cold engine. */
  private static final class ColdEngine {
    private final ColdSends sends = new ColdSends();
    private int peersRanked = -1;
    private boolean sender;
    private long loggedNanos;
    private boolean logged;
  }

  /**
   * Creates a policy.
   *
   * @param services gives the profile of a service, if it is known
   * @param cordons gives the time when the cordon of a zone ended
   * @param self this node
   * @param peers the other nodes; empty until they have been read
   */
  public WarmupPolicy(
      ColdBounds bounds,
      Function<String, Optional<ServiceProfile>> services,
      ZoneCordons cordons,
      PeerAddress self,
      Supplier<Optional<Collection<PeerAddress>>> peers,
      GatewayLog log) {
    this.bounds = bounds;
    this.services = services;
    this.cordons = cordons;
    this.self = self;
    this.peers = peers;
    this.log = log;
  }

  @Override
  public boolean allows(Engine engine, Criteria criteria, long nowNanos) {
    if (!engine.cold(nowNanos)) {
      return true;
    }
    ColdEngine cold = coldEngines.computeIfAbsent(engine.record().id(), id -> new ColdEngine());
    boolean allowed = sender(engine, cold) && cold.sends.hasBudget(nowNanos);
    if (!allowed) {
      heldBack++;
      logOnceASecond(engine, cold, nowNanos);
    }
    return allowed;
  }

  @Override
  public double penaltyMillis(Engine engine, Criteria criteria, long nowNanos) {
    return engine.cold(nowNanos) ? COLD_PENALTY_MILLIS : 0;
  }

  /**
   * Lets programs return to their home engine in the order of their hashes over the warm-up time of
   * the engine.
   */
  @Override
  public boolean allowsHome(Engine engine, Criteria criteria, long nowNanos) {
    if (engine.cold(nowNanos)) {
      return false;
    }
    long availableNanos =
        Math.min(engine.warmForNanos(nowNanos), sinceUncordonNanos(engine, nowNanos));
    if (availableNanos == Long.MAX_VALUE) {
      return true;
    }
    long rampNanos = coldStartMillis(engine) * 1_000_000;
    double part = Integer.toUnsignedLong(StableHash.of(criteria.homeKey())) / 0x1p32;
    return availableNanos >= rampNanos * part;
  }

  private long sinceUncordonNanos(Engine engine, long nowNanos) {
    Long lifted = cordons.liftedNanos(engine.record().zone());
    return lifted == null ? Long.MAX_VALUE : nowNanos - lifted;
  }

  private long coldStartMillis(Engine engine) {
    return services
        .apply(engine.record().service())
        .map(ServiceProfile::coldStartMillis)
        .orElse(0L);
  }

  @Override
  public void onSelected(Engine engine, long nowNanos) {
    if (!engine.cold(nowNanos)) {
      if (!coldEngines.isEmpty()) {
        coldEngines.remove(engine.record().id());
      }
      return;
    }
    ColdEngine cold = coldEngines.computeIfAbsent(engine.record().id(), id -> new ColdEngine());
    cold.sends.sent(nowNanos);
    sentWhileCold++;
    logOnceASecond(engine, cold, nowNanos);
  }

  /**
   * Returns whether this node is among those that may send to a cold engine. Nodes that know the
   * same peers agree on these nodes.
   */
  private boolean sender(Engine engine, ColdEngine cold) {
    Optional<Collection<PeerAddress>> known = peers.get();
    if (known.isEmpty()) {
      return false;
    }
    if (cold.peersRanked != known.get().size()) {
      cold.peersRanked = known.get().size();
      cold.sender = rankOfSelf(engine, known.get()) < nodes(engine);
    }
    return cold.sender;
  }

  private int rankOfSelf(Engine engine, Collection<PeerAddress> others) {
    String id = engine.record().id();
    int own = StableHash.of(self.toString(), id);
    int preceding = 0;
    for (PeerAddress peer : others) {
      if (StableHash.of(peer.toString(), id) > own) {
        preceding++;
      }
    }
    return preceding;
  }

  private int nodes(Engine engine) {
    double rate =
        services
            .apply(engine.record().service())
            .map(ServiceProfile::coldRequestsPerSecond)
            .orElse(0.0);
    return bounds.nodes(rate);
  }

  private void logOnceASecond(Engine engine, ColdEngine cold, long nowNanos) {
    if (cold.logged && nowNanos - cold.loggedNanos < LOG_INTERVAL_NANOS) {
      return;
    }
    cold.logged = true;
    cold.loggedNanos = nowNanos;
    log.write(
        GatewayEvent.ENGINE_COLD,
        "engine",
        engine.record().id(),
        "sent",
        cold.sends.within(nowNanos),
        "bound",
        cold.sender ? ColdBounds.PER_NODE : 0,
        "nodes",
        nodes(engine));
  }

  /** Returns the number of requests sent to cold engines. */
  public long sentWhileCold() {
    return sentWhileCold;
  }

  /** Returns how often a cold engine was not allowed as a candidate. */
  public long heldBack() {
    return heldBack;
  }
}
