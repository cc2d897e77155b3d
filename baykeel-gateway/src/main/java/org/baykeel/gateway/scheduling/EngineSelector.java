package org.baykeel.gateway.scheduling;

import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.baykeel.gateway.directory.Engine;
import org.baykeel.gateway.directory.EngineDirectory;
import org.baykeel.gateway.directory.PromptPart;
import org.baykeel.gateway.directory.ServicePerformance;

/**
 * Picks the engine at which a request is predicted to end first: its wait, reading what the engine
 * does not keep, the events of an ordinary answer at the engine's present pace, the way to another
 * zone.
 *
 * <p>Every request has a home among the engines, the same at each process: a program's turns find
 * what they share there even when they arrive through different processes.
 */
public final class EngineSelector {
  /**
   * What reading counts for in a choice, as a multiple of its own time: while an engine reads, all
   * that run there stand still.
   */
  private static final double READING_WEIGHT = 2.5;

  /** What an observed wait counts for; it is noisy and may be over when the request arrives. */
  private static final double WAIT_WEIGHT = 0.5;

  /** An engine counts as slow from this multiple of the usual time between events. */
  private static final double SLOW_PACE = 1.6;

  /**
   * What a stream that this process has under way at an engine adds to the next one there, as a
   * part of the usual time of a stream. Small: streams share the steps of an engine, and its pace
   * is observed by itself.
   */
  private static final double STREAM_IN_FLIGHT_WEIGHT = 1.0 / 200;

  private static final double OTHER_ZONE_MILLIS = 4.0;

  /** What a home is worth, in prompts of one turn that need not be read again. */
  private static final double HOME_BONUS_TURNS = 4.0;

  /** Engines that are this close to each other, in places of their own work, count as equal. */
  private static final double TIE_WIDTH = 0.5;

  private final EngineDirectory directory;
  private final String ownZone;
  private final RandomGenerator random;

  /**
   * Creates a selector.
   *
   * @param random settles ties, so that nodes that know the same don't all pick the same engine
   */
  public EngineSelector(EngineDirectory directory, String ownZone, RandomGenerator random) {
    this.directory = directory;
    this.ownZone = ownZone;
    this.random = random;
  }

  /**
   * What the choice depends on.
   *
   * @param service the service that is to run the request
   * @param prompt the parts of its prompt, or none
   * @param homeKey what the request belongs together with, or null
   * @param repeatable whether it may be sent to another engine after an unknown outcome
   */
  public record Criteria(
      String service, List<PromptPart> prompt, String homeKey, boolean repeatable) {}

  /**
   * The best engine that is not excluded.
   *
   * @param excluded identifiers of engines that have had this request
   * @return an engine, or null if none takes work
   */
  public Engine select(Criteria criteria, Set<String> excluded, long nowNanos) {
    Engine best = null;
    double bestMillis = 0;
    Engine home = home(criteria, excluded);
    boolean keptSomewhere = keptSomewhere(criteria);
    double usualGapMillis = usualGapMillis(criteria.service());
    for (Engine engine : directory.ofService(criteria.service())) {
      if (!takesWork(engine, excluded)) {
        continue;
      }
      double millis = predictedMillis(engine, criteria, usualGapMillis, nowNanos);
      if (engine == home) {
        millis -= keptSomewhere ? homeBonusMillis(engine) : assumedAtHomeMillis(engine, criteria);
      }
      if (best == null || millis < bestMillis) {
        best = engine;
        bestMillis = millis;
      }
    }
    return best;
  }

  private static boolean takesWork(Engine engine, Set<String> excluded) {
    return !engine.record().draining() && !excluded.contains(engine.record().id());
  }

  /** The median time between events over the engines of a service. */
  private double usualGapMillis(String service) {
    double[] gaps =
        directory.ofService(service).stream().mapToDouble(Engine::gapMillis).sorted().toArray();
    return gaps.length == 0 ? 0 : gaps[(gaps.length - 1) / 2];
  }

  private double predictedMillis(
      Engine engine, Criteria criteria, double usualGapMillis, long nowNanos) {
    ServicePerformance performance = engine.performance();
    boolean stream = !criteria.prompt().isEmpty();
    double answerMillis = stream ? performance.streamMillis() : performance.workMillis();
    double millis = stream ? 0 : tieMillis(engine);
    if (stream) {
      millis += engine.inFlight() * answerMillis * STREAM_IN_FLIGHT_WEIGHT;
      int unread = engine.cachedPrefixes().uncachedTokens(criteria.prompt());
      millis += performance.readingMillis(unread) * READING_WEIGHT;
      millis += engine.waitMillis(nowNanos) * WAIT_WEIGHT;
      double excessGap = engine.gapMillis() - usualGapMillis * SLOW_PACE;
      millis += Math.max(0, excessGap) * performance.eventsPerAnswer();
    } else {
      millis += engine.inFlight() * placeMillis(engine);
    }
    if (!engine.record().zone().equals(ownZone)) {
      millis += OTHER_ZONE_MILLIS;
    }
    return millis + engine.standing(nowNanos).penaltyMillis(criteria.repeatable(), answerMillis);
  }

  /** The time after which an engine that is full is expected to have a place again. */
  private static double placeMillis(Engine engine) {
    return engine.performance().workMillis() / Math.max(1, engine.record().slots());
  }

  private double tieMillis(Engine engine) {
    return random.nextDouble() * TIE_WIDTH * placeMillis(engine);
  }

  /** Whether an engine is known here to keep something of the prompt's own, last part. */
  private boolean keptSomewhere(Criteria criteria) {
    if (criteria.prompt().isEmpty()) {
      return true;
    }
    return directory.ofService(criteria.service()).stream()
        .anyMatch(engine -> engine.cachedPrefixes().containsOwnPart(criteria.prompt()));
  }

  private static double homeBonusMillis(Engine home) {
    ServicePerformance performance = home.performance();
    return performance.readingMillis(performance.newTokens()) * HOME_BONUS_TURNS * READING_WEIGHT;
  }

  /** What earlier turns through other processes are assumed to have left at the home. */
  private static double assumedAtHomeMillis(Engine home, Criteria criteria) {
    ServicePerformance performance = home.performance();
    int uncached = home.cachedPrefixes().uncachedTokens(criteria.prompt());
    double assumedKept = Math.max(0, uncached - performance.newTokens());
    return homeBonusMillis(home) + performance.readingMillis(assumedKept) * READING_WEIGHT;
  }

  /** Rendezvous hashing: the engine with the highest rank for the key. */
  private Engine home(Criteria criteria, Set<String> excluded) {
    if (criteria.homeKey() == null) {
      return null;
    }
    Engine home = null;
    int highest = 0;
    for (Engine engine : directory.ofService(criteria.service())) {
      if (!takesWork(engine, excluded)) {
        continue;
      }
      int rank = StableHash.of(engine.record().id(), criteria.homeKey());
      if (home == null || rank > highest) {
        home = engine;
        highest = rank;
      }
    }
    return home;
  }
}
