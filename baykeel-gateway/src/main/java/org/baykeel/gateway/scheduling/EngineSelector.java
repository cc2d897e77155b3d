package org.baykeel.gateway.scheduling;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.baykeel.gateway.directory.Engine;
import org.baykeel.gateway.directory.EngineDirectory;
import org.baykeel.gateway.directory.PromptPart;
import org.baykeel.gateway.directory.ServicePerformance;
import org.baykeel.gateway.residency.Residency;
import org.baykeel.gateway.topology.Locality;
import org.baykeel.gateway.topology.RoundTrips;
import org.baykeel.gateway.topology.Topology;

/**
 * Picks the engine at which a request is predicted to end first: its wait, reading what the engine
 * does not keep, the events of an ordinary answer at the engine's present pace, the way to another
 * zone or region. Which engines may run it at all is a matter of policies.
 *
 * <p>Every request has a home among the engines, the same at each process: a program's turns find
 * what they share there even when they arrive through different processes.
 */
public final class EngineSelector {
  /**
   * What reading counts for in a choice, as a multiple of its own time: while an engine reads, all
   * that run there stand still.
   */
  private static final double PREFILL_WEIGHT = 2.5;

  /** What an observed wait counts for; it is noisy and may be over when the request arrives. */
  private static final double WAIT_WEIGHT = 0.5;

  /** An engine counts as slow from this multiple of the usual time between events. */
  private static final double SLOW_FACTOR = 1.6;

  /**
   * What a stream that this process has under way at an engine adds to the next one there, as a
   * part of the usual time of a stream. Small: streams share the steps of an engine, and its pace
   * is observed by itself.
   */
  private static final double STREAM_IN_FLIGHT_WEIGHT = 1.0 / 200;

  /**
   * For streams that belong to no program an engine's pace counts in full once it differs from the
   * usual one by this factor, either way; below, the difference is that of what happens to run.
   */
  private static final double EQUAL_FACTOR = 1.25;

  /**
   * What speaks against an engine that is expected to be full. More than any wait that is worth its
   * while; less than what speaks against an engine that probably loses the request.
   */
  private static final double FULL_PENALTY_MILLIS = 10_000;

  /** What bytes to another region count for. */
  private static final double OTHER_REGION_TRANSFER_MILLIS = 4.0;

  /**
   * What the way to another region and back counts for a stream, as a multiple of itself. A line of
   * turns that moves reads its prompt anew once and then pays the way with each turn, so it leaves
   * its region for a wait that is longer than several ways, and returns when that is over.
   */
  private static final double OTHER_REGION_ROUND_TRIP_WEIGHT = 2.0;

  /** What a home is worth, in prompts of one turn that need not be read again. */
  private static final double HOME_BONUS_TURNS = 4.0;

  /** Engines that are this close to each other, in places of their own work, count as equal. */
  private static final double TIE_WIDTH_SLOTS = 0.5;

  private final EngineDirectory directory;
  private final Topology topology;
  private final RoundTrips roundTrips;
  private final EnginePolicy[] policies;
  private final RandomGenerator random;
  private final WaitPrediction waitPrediction;
  private double[] sortedInterEventMillis = new double[0];

  /** Engines that may run the request in hand; kept between choices, which come one at a time. */
  private final List<Engine> candidates = new ArrayList<>();

  /**
   * Creates a selector.
   *
   * @param topology tells how near engines are
   * @param roundTrips how long the way to them is
   * @param policies all of them must allow an engine
   * @param random settles ties, so that nodes that know the same don't all pick the same engine
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

  /** Creates a selector for zones of one region, without policies. */
  public EngineSelector(EngineDirectory directory, String ownZone, RandomGenerator random) {
    this(directory, Topology.ofOneRegion(ownZone), random);
  }

  private EngineSelector(EngineDirectory directory, Topology topology, RandomGenerator random) {
    this(directory, topology, new RoundTrips(topology), List.of(), random);
  }

  /**
   * What the choice depends on.
   *
   * @param service the service that is to run the request
   * @param prompt the parts of its prompt, or none
   * @param homeKey what the request belongs together with, or null
   * @param repeatable whether it may be sent to another engine after an unknown outcome
   * @param residency where it may run
   * @param outputTokens the most tokens that it generates; 0 if that is not known
   */
  public record Criteria(
      String service,
      List<PromptPart> prompt,
      String homeKey,
      boolean repeatable,
      Residency residency,
      int outputTokens) {

    /** What a request depends on whose output is not bounded. */
    public Criteria(
        String service,
        List<PromptPart> prompt,
        String homeKey,
        boolean repeatable,
        Residency residency) {
      this(service, prompt, homeKey, repeatable, residency, 0);
    }

    /** What a request depends on that may run anywhere. */
    public Criteria(String service, List<PromptPart> prompt, String homeKey, boolean repeatable) {
      this(service, prompt, homeKey, repeatable, Residency.ANY);
    }
  }

  /**
   * What was chosen.
   *
   * @param engine the engine
   * @param predictedMillis what speaks against it, in milliseconds
   * @param inRegionMillis the same for the best engine of this node's region; negative if none may
   *     run the request
   * @param locality where the engine is
   */
  public record Choice(
      Engine engine, double predictedMillis, double inRegionMillis, Locality locality) {}

  /**
   * The best engine that is not excluded; the request counts as sent to it.
   *
   * @param excluded identifiers of engines that have had this request
   * @return an engine, or null if none takes work
   */
  public Engine select(Criteria criteria, Set<String> excluded, long nowNanos) {
    Choice choice = choose(criteria, excluded, nowNanos);
    return choice == null ? null : choice.engine();
  }

  /**
   * The best engine that is not excluded, and how it compares with those of this node's region; the
   * request counts as sent to it.
   *
   * @param excluded identifiers of engines that have had this request
   * @return a choice, or null if no engine takes work or the best one is expected to be full
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
   * When an engine that is worth a wait is expected to have a place for a request.
   *
   * @param excluded identifiers of engines that have had this request
   * @return a moment, the present one if an engine may have a place; {@link Long#MAX_VALUE} if none
   *     takes work
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

  /** What speaks against an engine whatever its load: how far it is trusted, and the policies. */
  private double healthAndPolicyPenaltyMillis(
      Engine engine, Criteria criteria, double responseMillis, long nowNanos) {
    double millis = engine.health(nowNanos).penaltyMillis(criteria.repeatable(), responseMillis);
    for (EnginePolicy policy : policies) {
      millis += policy.penaltyMillis(engine, criteria, nowNanos);
    }
    return millis;
  }

  /** The usual time of a whole answer to a request, in milliseconds. */
  public double usualResponseMillis(Criteria criteria) {
    ServicePerformance performance = directory.performanceOf(criteria.service());
    return criteria.prompt().isEmpty()
        ? performance.nonStreamMillis()
        : performance.firstEventMillis() + performance.streamMillis();
  }

  private void collectCandidates(Criteria criteria, Set<String> excluded, long nowNanos) {
    candidates.clear();
    for (Engine engine : directory.ofService(criteria.service())) {
      if (acceptsWork(engine, excluded) && allowed(engine, criteria, nowNanos)) {
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

  /** The median time between events over the engines of a service. */
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
   * The wait of a stream of a program: what this process has seen of waits there, or what the
   * shared view tells beyond the time of reading the whole prompt twice. A program that moves and
   * returns reads it at both engines, and all that run there wait for it, so moving for less makes
   * all of them slower.
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

  /** The wait of a stream that belongs to no program, and so may go wherever there is room. */
  private double independentWaitMillis(Engine engine, Criteria criteria) {
    if (engine.cachedPrefixes().containsOwnPart(criteria.prompt())) {
      return waitPrediction.reportedMillis(engine);
    }
    double slotMillis = engine.performance().streamMillis() / slots(engine);
    double tieMillis = random.nextDouble() * TIE_WIDTH_SLOTS * slotMillis;
    return waitPrediction.expectedMillis(engine) + tieMillis;
  }

  /**
   * What an engine needs for an event beyond the usual time.
   *
   * @param independent whether the stream may go wherever there is room; negative then if it is
   *     faster
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

  /** The time after which an engine that is full is expected to have a place again. */
  private static double slotMillis(Engine engine) {
    return engine.performance().nonStreamMillis() / slots(engine);
  }

  private static int slots(Engine engine) {
    return Math.max(1, engine.record().slots());
  }

  private double tieMillis(Engine engine) {
    return random.nextDouble() * TIE_WIDTH_SLOTS * slotMillis(engine);
  }

  /** Whether an engine is known here to keep something of the prompt's own, last part. */
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

  /** What earlier turns through other processes are assumed to have left at the home. */
  private static double assumedHomeCacheMillis(Engine home, Criteria criteria) {
    ServicePerformance performance = home.performance();
    int uncached = home.cachedPrefixes().uncachedTokens(criteria.prompt());
    double assumedCached = Math.max(0, uncached - performance.newTokens());
    return homeBonusMillis(home) + performance.prefillMillis(assumedCached) * PREFILL_WEIGHT;
  }

  /**
   * Rendezvous hashing over the engines of this node's region, or over all if it has none: each
   * node of a region finds the same home, and a program whose region stays the same keeps it.
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
