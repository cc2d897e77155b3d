package org.baykeel.gateway.scheduling;

import java.util.List;
import java.util.Set;
import org.baykeel.gateway.directory.Engine;
import org.baykeel.gateway.directory.EngineDirectory;
import org.baykeel.gateway.directory.PromptPart;

/**
 * Picks the engine at which a request is predicted to end first: its wait, reading what the engine
 * does not keep, the events of an ordinary answer at the engine's present pace, the way to another
 * zone.
 *
 * <p>Every request has a home among the engines, the same at each process: a program's turns find
 * what they share there even when they arrive through different processes.
 */
public final class EngineSelector {
  /** Tokens by which a prompt typically grows from turn to turn. */
  private static final int TYPICAL_NEW_TOKENS = 1_500;

  /**
   * What reading counts for in a choice, as a multiple of its own time: while an engine reads, all
   * that run there stand still.
   */
  private static final double READING_WEIGHT = 2.5;

  /** What an observed wait counts for; it is noisy and may be over when the request arrives. */
  private static final double WAIT_WEIGHT = 0.5;

  /** An engine counts as slow from this multiple of the usual time between events. */
  private static final double SLOW_PACE = 1.6;

  private static final double EVENTS_PER_ANSWER = 11.0;
  private static final double MILLIS_PER_REQUEST_IN_FLIGHT = 2.0;
  private static final double OTHER_ZONE_MILLIS = 4.0;
  private static final double HOME_BONUS_MILLIS = 60.0;

  private final EngineDirectory directory;
  private final String ownZone;

  public EngineSelector(EngineDirectory directory, String ownZone) {
    this.directory = directory;
    this.ownZone = ownZone;
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
        millis -= keptSomewhere ? HOME_BONUS_MILLIS : assumedAtHomeMillis(engine, criteria);
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
    double millis = engine.inFlight() * MILLIS_PER_REQUEST_IN_FLIGHT;
    if (!criteria.prompt().isEmpty()) {
      millis += readingMillis(engine.cachedPrefixes().uncachedTokens(criteria.prompt()));
      millis += engine.waitMillis(nowNanos) * WAIT_WEIGHT;
      double excessGap = engine.gapMillis() - usualGapMillis * SLOW_PACE;
      millis += Math.max(0, excessGap) * EVENTS_PER_ANSWER;
    }
    if (!engine.record().zone().equals(ownZone)) {
      millis += OTHER_ZONE_MILLIS;
    }
    return millis + engine.standing(nowNanos).penaltyMillis(criteria.repeatable());
  }

  /** Whether an engine is known here to keep something of the prompt's own, last part. */
  private boolean keptSomewhere(Criteria criteria) {
    List<PromptPart> prompt = criteria.prompt();
    if (prompt.isEmpty()) {
      return true;
    }
    String ownPart = prompt.get(prompt.size() - 1).id();
    for (Engine engine : directory.ofService(criteria.service())) {
      if (engine.cachedPrefixes().contains(ownPart)) {
        return true;
      }
    }
    return false;
  }

  /** What earlier turns through other processes are assumed to have left at the home. */
  private static double assumedAtHomeMillis(Engine home, Criteria criteria) {
    int uncached = home.cachedPrefixes().uncachedTokens(criteria.prompt());
    return HOME_BONUS_MILLIS + readingMillis(Math.max(0, uncached - TYPICAL_NEW_TOKENS));
  }

  private static double readingMillis(int tokens) {
    return tokens * READING_WEIGHT / Engine.PREFILL_TOKENS_PER_MILLI;
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
