package org.baykeel.gateway.scheduling;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.baykeel.gateway.directory.Engine;
import org.baykeel.gateway.directory.EngineDirectory;
import org.baykeel.gateway.directory.PromptPart;
import org.baykeel.gateway.directory.ServicePerformance;
import org.baykeel.gateway.directory.SoftwareVersion;
import org.baykeel.gateway.residency.Residency;
import org.baykeel.gateway.topology.Locality;
import org.baykeel.gateway.topology.RoundTrips;
import org.baykeel.gateway.topology.Topology;

/**
 * Selects the engine with the lowest predicted cost for a request, in milliseconds. The cost adds
 * up the wait at the engine, the weighted prefill of prompt tokens that it has not cached, the
 * excess of its inter-event time for the events of a usual response, the network latency to another
 * zone or region, and penalties; the home engine gets a bonus. Policies decide which engines may
 * run the request at all.
 *
 * <p>Every request with a home key has a home engine, which is the same at each node of a region.
 * The turns of a program find their common prompt prefix cached there even when they arrive through
 * different nodes.
 */
public final class EngineSelector {
  /**
   * Weight of the prefill time in a selection. It is above 1 because all requests that run at an
   * engine pause while it prefills a prompt.
   */
  private static final double PREFILL_WEIGHT = 2.5;

  /** Weight of an observed wait, which is noisy and may be over when the request arrives. */
  private static final double WAIT_WEIGHT = 0.5;

  /** An engine counts as slow from this multiple of the median inter-event time. */
  private static final double SLOW_FACTOR = 1.6;

  /**
   * The cost of each stream that this node has in flight at an engine, as a part of the usual
   * stream time. Small, because streams share the steps of an engine and its inter-event time is
   * observed separately.
   */
  private static final double STREAM_IN_FLIGHT_WEIGHT = 1.0 / 200;

  /**
   * For streams without a home key the difference between the inter-event time of an engine of
   * known load and the median counts in full from this factor in either direction. A smaller
   * difference is ignored, since it is caused by whatever the engine happens to run.
   */
  private static final double EQUAL_FACTOR = 1.25;

  /**
   * Penalty for an engine that is expected to be full. More than any wait that is worthwhile, less
   * than the penalty for an engine that would probably lose the request.
   */
  private static final double FULL_PENALTY_MILLIS = 10_000;

  /** Cost of the transfer of bytes to another region. */
  private static final double OTHER_REGION_TRANSFER_MILLIS = 4.0;

  /**
   * Weight of the round trip to another region for a stream. A conversation that moves prefills its
   * prompt once more and then pays the round trip with each turn, so it should leave its region
   * only for a wait longer than several round trips, and return when that wait is over.
   */
  private static final double OTHER_REGION_ROUND_TRIP_WEIGHT = 2.0;

  /** Bonus of the home engine, in units of the prefill time of the new tokens of one turn. */
  private static final double HOME_BONUS_TURNS = 4.0;

  /** Engines whose cost differs by less than this many slot times count as equal. */
  private static final double TIE_WIDTH_SLOTS = 0.5;

  private final EngineDirectory directory;
  private final Topology topology;
  private final RoundTrips roundTrips;
  private final EnginePolicy[] policies;
  private final RandomGenerator random;
  private final WaitPrediction waitPrediction;
  private double[] sortedInterEventMillis = new double[0];

  /**
   * Engines that may run the request of the current selection. Reused between selections, which
   * never overlap.
   */
  private final List<Engine> candidates = new ArrayList<>();

  /**
   * Creates a selector.
   *
   * @param topology gives the zone and region of engines
   * @param roundTrips gives the round trips to them
   * @param policies an engine is a candidate only if all of them allow it
   * @param random breaks ties, so that nodes with the same view don't all select the same engine
   */
  public EngineSelector(
      EngineDirectory directory,
      Topology topology,
      RoundTrips roundTrips,
      List<EnginePolicy> policies,
      RandomGenerator random) {
    this.directory = directory;
    this.topology = topology;
    this.roundTrips = roundTrips;
    this.policies = policies.toArray(new EnginePolicy[0]);
    this.random = random;
    this.waitPrediction = new WaitPrediction(random);
  }

  /** Creates a selector for the zones of one region, without policies. */
  public EngineSelector(EngineDirectory directory, String ownZone, RandomGenerator random) {
    this(directory, Topology.ofOneRegion(ownZone), random);
  }

  private EngineSelector(EngineDirectory directory, Topology topology, RandomGenerator random) {
    this(directory, topology, new RoundTrips(topology), List.of(), random);
  }

  /**
   * The properties of a request that a selection depends on.
   *
   * @param service the service that is to run the request
   * @param prompt the parts of its prompt; empty if the request is not a stream
   * @param homeKey the key by which requests share a home engine, or null
   * @param repeatable whether it may be sent to another engine after an unknown outcome
   * @param residency the regions where it may run
   * @param outputTokens the most tokens that it generates; 0 if that is not known
   * @param requiredVersion the only software version at which it may run, if there is one
   */
  public record Criteria(
      String service,
      List<PromptPart> prompt,
      String homeKey,
      boolean repeatable,
      Residency residency,
      int outputTokens,
      Optional<SoftwareVersion> requiredVersion) {

    /** Creates the criteria of a request that may run at any software version. */
    public Criteria(
        String service,
        List<PromptPart> prompt,
        String homeKey,
        boolean repeatable,
        Residency residency,
        int outputTokens) {
      this(service, prompt, homeKey, repeatable, residency, outputTokens, Optional.empty());
    }

    /** Creates the criteria of a request whose output length is not known. */
    public Criteria(
        String service,
        List<PromptPart> prompt,
        String homeKey,
        boolean repeatable,
        Residency residency) {
      this(service, prompt, homeKey, repeatable, residency, 0);
    }

    /**
     * Creates the criteria of a request that may run in any region and whose output length is not
     * known.
     */
    public Criteria(String service, List<PromptPart> prompt, String homeKey, boolean repeatable) {
      this(service, prompt, homeKey, repeatable, Residency.ANY);
    }

    /** Returns the same criteria for a request that may run at one software version only. */
    public Criteria requiring(SoftwareVersion version) {
      return new Criteria(
          service, prompt, homeKey, repeatable, residency, outputTokens, Optional.of(version));
    }

    private boolean allowsVersionOf(Engine engine) {
      return requiredVersion.isEmpty() || requiredVersion.equals(engine.record().softwareVersion());
    }
  }

  /**
   * The result of a selection.
   *
   * @param engine the selected engine
   * @param predictedMillis its predicted cost, in milliseconds
   * @param inRegionMillis the cost of the best engine of this node's region, in milliseconds;
   *     negative if no engine of the region may run the request
   * @param locality whether the selected engine is in the zone or region of this node
   */
  public record Choice(
      Engine engine, double predictedMillis, double inRegionMillis, Locality locality) {}

  /**
   * Selects the best engine that is not excluded. The policies are notified of the selected engine
   * and may count the request as sent to it.
   *
   * @param excluded identifiers of engines that were already tried for this request
   * @return an engine, or null if no engine accepts work or the best one is expected to be full
   */
  public Engine select(Criteria criteria, Set<String> excluded, long nowNanos) {
    Choice choice = choose(criteria, excluded, nowNanos);
    return choice == null ? null : choice.engine();
  }

  /**
   * Selects the best engine that is not excluded, and compares it with those of this node's region.
   * The policies are notified of the selected engine and may count the request as sent to it.
   *
   * @param excluded identifiers of engines that were already tried for this request
   * @return a choice, or null if no engine accepts work or the best one is expected to be full
   */
  public Choice choose(Criteria criteria, Set<String> excluded, long nowNanos) {
    collectCandidates(criteria, excluded, nowNanos);
    Engine home = home(criteria, nowNanos);
    boolean cachedAnywhere = cachedAnywhere(criteria);
    double medianMillis = medianInterEventMillis(criteria.service(), nowNanos);
    waitPrediction.begin(candidates, !criteria.prompt().isEmpty(), nowNanos);
    Engine best = null;
    double bestMillis = 0;
    double inRegionMillis = -1;
    for (Engine engine : candidates) {
      double millis = predictedMillis(engine, criteria, medianMillis, nowNanos);
      if (engine == home) {
        millis -=
            cachedAnywhere ? homeBonusMillis(engine) : assumedHomeCacheMillis(engine, criteria);
      }
      if (best == null || millis < bestMillis) {
        best = engine;
        bestMillis = millis;
      }
      if (locality(engine).inRegion() && (inRegionMillis < 0 || millis < inRegionMillis)) {
        inRegionMillis = Math.max(0, millis);
      }
    }
    if (best == null || best.capacity().full(nowNanos)) {
      return null;
    }
    for (EnginePolicy policy : policies) {
      policy.onSelected(best, nowNanos);
    }
    return new Choice(best, bestMillis, inRegionMillis, locality(best));
  }

  /**
   * Returns when an engine that is worth waiting for is expected to have capacity for a request. An
   * engine with a large penalty for its health or from a policy is not worth waiting for; if no
   * engine is, any engine that accepts work counts.
   *
   * @param excluded identifiers of engines that were already tried for this request
   * @return the present moment if an engine may have capacity; {@link Long#MAX_VALUE} if no engine
   *     accepts work
   */
  public long nextCapacityNanos(Criteria criteria, Set<String> excluded, long nowNanos) {
    collectCandidates(criteria, excluded, nowNanos);
    double responseMillis = usualResponseMillis(criteria);
    long earliest = Long.MAX_VALUE;
    long earliestOfAny = Long.MAX_VALUE;
    for (Engine engine : candidates) {
      long nextNanos = engine.capacity().nextCapacityNanos(nowNanos);
      earliestOfAny = Math.min(earliestOfAny, nextNanos);
      if (healthAndPolicyPenaltyMillis(engine, criteria, responseMillis, nowNanos)
          < FULL_PENALTY_MILLIS) {
        earliest = Math.min(earliest, nextNanos);
      }
    }
    return earliest == Long.MAX_VALUE ? earliestOfAny : earliest;
  }

  /** Returns the sum of the penalty for the health of an engine and those of the policies. */
  private double healthAndPolicyPenaltyMillis(
      Engine engine, Criteria criteria, double responseMillis, long nowNanos) {
    double millis = engine.health(nowNanos).penaltyMillis(criteria.repeatable(), responseMillis);
    for (EnginePolicy policy : policies) {
      millis += policy.penaltyMillis(engine, criteria, nowNanos);
    }
    return millis;
  }

  /** Returns the usual time of a whole response to a request, in milliseconds. */
  public double usualResponseMillis(Criteria criteria) {
    ServicePerformance performance = directory.performanceOf(criteria.service());
    return criteria.prompt().isEmpty()
        ? performance.nonStreamMillis()
        : performance.firstEventMillis() + performance.streamMillis();
  }

  private void collectCandidates(Criteria criteria, Set<String> excluded, long nowNanos) {
    candidates.clear();
    for (Engine engine : directory.ofService(criteria.service())) {
      if (acceptsWork(engine, excluded)
          && criteria.allowsVersionOf(engine)
          && allowed(engine, criteria, nowNanos)) {
        candidates.add(engine);
      }
    }
  }

  private boolean allowed(Engine engine, Criteria criteria, long nowNanos) {
    for (EnginePolicy policy : policies) {
      if (!policy.allows(engine, criteria, nowNanos)) {
        return false;
      }
    }
    return true;
  }

  private static boolean acceptsWork(Engine engine, Set<String> excluded) {
    return !engine.record().draining() && !excluded.contains(engine.record().id());
  }

  private Locality locality(Engine engine) {
    return topology.localityOf(engine.record().zone());
  }

  /** Returns the median inter-event time over the engines of a service. */
  private double medianInterEventMillis(String service, long nowNanos) {
    List<Engine> engines = directory.ofService(service);
    int count = engines.size();
    if (sortedInterEventMillis.length < count) {
      sortedInterEventMillis = new double[count];
    }
    for (int i = 0; i < count; i++) {
      sortedInterEventMillis[i] = engines.get(i).observedInterEventMillis(nowNanos);
    }
    Arrays.sort(sortedInterEventMillis, 0, count);
    return count == 0 ? 0 : sortedInterEventMillis[(count - 1) / 2];
  }

  private double predictedMillis(
      Engine engine, Criteria criteria, double medianMillis, long nowNanos) {
    ServicePerformance performance = engine.performance();
    boolean stream = !criteria.prompt().isEmpty();
    double responseMillis = stream ? performance.streamMillis() : performance.nonStreamMillis();
    double millis = stream ? 0 : tieMillis(engine);
    if (stream) {
      millis += engine.inFlight() * responseMillis * STREAM_IN_FLIGHT_WEIGHT;
      int uncachedTokens = engine.cachedPrefixes().uncachedTokens(criteria.prompt());
      millis += performance.prefillMillis(uncachedTokens) * PREFILL_WEIGHT;
      boolean independent = criteria.homeKey() == null && waitPrediction.known(engine);
      millis +=
          independent
              ? independentWaitMillis(engine, criteria)
              : programWaitMillis(engine, criteria, nowNanos);
      double excessMillis = excessInterEventMillis(engine, independent, medianMillis, nowNanos);
      millis += excessMillis * performance.eventsPerStream();
    } else {
      millis += engine.inFlight() * slotMillis(engine);
      millis += waitPrediction.known(engine) ? waitPrediction.expectedMillis(engine) : 0;
    }
    millis += networkMillis(engine, stream);
    if (engine.capacity().full(nowNanos)) {
      millis += FULL_PENALTY_MILLIS;
    }
    return millis + healthAndPolicyPenaltyMillis(engine, criteria, responseMillis, nowNanos);
  }

  /**
   * Predicts the wait of a stream of a program, or of any stream at an engine of unknown load: the
   * larger of the wait that this node has observed at the engine and the part of the wait in the
   * load view that exceeds twice the prefill of the whole prompt. A program that moves and returns
   * prefills its prompt at both engines, and everything that runs there waits for that, so moving
   * for a shorter wait would slow down all of them.
   */
  private double programWaitMillis(Engine engine, Criteria criteria, long nowNanos) {
    double observedMillis = engine.waitMillis(nowNanos) * WAIT_WEIGHT;
    if (!waitPrediction.known(engine)) {
      return observedMillis;
    }
    int tokens = PromptPart.totalTokens(criteria.prompt());
    double prefillMillis = engine.performance().prefillMillis(2.0 * tokens) * PREFILL_WEIGHT;
    return Math.max(observedMillis, waitPrediction.reportedMillis(engine) - prefillMillis);
  }

  /**
   * Predicts the wait of a stream without a home key, which may go to any engine with capacity, at
   * an engine of known load.
   */
  private double independentWaitMillis(Engine engine, Criteria criteria) {
    if (engine.cachedPrefixes().containsOwnPart(criteria.prompt())) {
      return waitPrediction.reportedMillis(engine);
    }
    double slotMillis = engine.performance().streamMillis() / slots(engine);
    double tieMillis = random.nextDouble() * TIE_WIDTH_SLOTS * slotMillis;
    return waitPrediction.expectedMillis(engine) + tieMillis;
  }

  /**
   * Returns the part of an engine's inter-event time that counts as excess, in milliseconds: the
   * part beyond {@link #SLOW_FACTOR} times the median, or, for an independent stream, the
   * difference from the median unless it is small.
   *
   * @param independent whether the stream has no home key and the load of the engine is known; the
   *     result may then be negative
   */
  private static double excessInterEventMillis(
      Engine engine, boolean independent, double medianMillis, long nowNanos) {
    if (!independent) {
      return Math.max(0, engine.observedInterEventMillis(nowNanos) - medianMillis * SLOW_FACTOR);
    }
    double interEventMillis = engine.interEventMillis(nowNanos);
    boolean equal =
        interEventMillis < medianMillis * EQUAL_FACTOR
            && interEventMillis * EQUAL_FACTOR > medianMillis;
    return equal ? 0 : interEventMillis - medianMillis;
  }

  private double networkMillis(Engine engine, boolean stream) {
    return switch (locality(engine)) {
      case SAME_ZONE -> 0;
      case SAME_REGION -> roundTrips.millisTo(engine.record().zone());
      case OTHER_REGION ->
          OTHER_REGION_TRANSFER_MILLIS
              + roundTrips.millisTo(engine.record().zone())
                  * (stream ? OTHER_REGION_ROUND_TRIP_WEIGHT : 1);
    };
  }

  /** Returns the time after which a full engine is expected to have a free slot. */
  private static double slotMillis(Engine engine) {
    return engine.performance().nonStreamMillis() / slots(engine);
  }

  private static int slots(Engine engine) {
    return Math.max(1, engine.record().slots());
  }

  private double tieMillis(Engine engine) {
    return random.nextDouble() * TIE_WIDTH_SLOTS * slotMillis(engine);
  }

  /**
   * Returns whether any engine is believed to have cached the last part of the prompt, which is not
   * shared with other programs.
   */
  private boolean cachedAnywhere(Criteria criteria) {
    if (criteria.prompt().isEmpty()) {
      return true;
    }
    for (Engine engine : directory.ofService(criteria.service())) {
      if (engine.cachedPrefixes().containsOwnPart(criteria.prompt())) {
        return true;
      }
    }
    return false;
  }

  private static double homeBonusMillis(Engine home) {
    ServicePerformance performance = home.performance();
    return performance.prefillMillis(performance.newTokens()) * HOME_BONUS_TURNS * PREFILL_WEIGHT;
  }

  /**
   * Returns the value of the prompt tokens that earlier turns through other nodes are assumed to
   * have left in the cache of the home engine.
   */
  private static double assumedHomeCacheMillis(Engine home, Criteria criteria) {
    ServicePerformance performance = home.performance();
    int uncached = home.cachedPrefixes().uncachedTokens(criteria.prompt());
    double assumedCached = Math.max(0, uncached - performance.newTokens());
    return homeBonusMillis(home) + performance.prefillMillis(assumedCached) * PREFILL_WEIGHT;
  }

  /**
   * Returns the home engine by rendezvous hashing over the engines of this node's region, or over
   * all engines if the region has none. Each node of a region finds the same home engine, and a
   * program keeps it as long as its region does not change.
   */
  private Engine home(Criteria criteria, long nowNanos) {
    if (criteria.homeKey() == null) {
      return null;
    }
    Engine inRegion = null;
    Engine anywhere = null;
    int highestInRegion = 0;
    int highest = 0;
    for (Engine engine : candidates) {
      if (!mayBeHome(engine, criteria, nowNanos)) {
        continue;
      }
      int rank = StableHash.of(engine.record().id(), criteria.homeKey());
      if (locality(engine).inRegion() && (inRegion == null || rank > highestInRegion)) {
        inRegion = engine;
        highestInRegion = rank;
      }
      if (anywhere == null || rank > highest) {
        anywhere = engine;
        highest = rank;
      }
    }
    return inRegion != null ? inRegion : anywhere;
  }

  private boolean mayBeHome(Engine engine, Criteria criteria, long nowNanos) {
    for (EnginePolicy policy : policies) {
      if (!policy.allowsHome(engine, criteria, nowNanos)) {
        return false;
      }
    }
    return true;
  }
}
