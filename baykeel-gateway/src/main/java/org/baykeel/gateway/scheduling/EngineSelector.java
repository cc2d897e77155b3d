package org.baykeel.gateway.scheduling;

import java.util.List;
import java.util.Set;
import org.baykeel.gateway.directory.Engine;
import org.baykeel.gateway.directory.EngineDirectory;
import org.baykeel.gateway.directory.PromptPart;

/**
 * Picks the engine at which a request is predicted to end first: reading what the engine does not
 * keep, waiting behind this process's other requests, the way to another zone, all times how slow
 * the engine has been of late.
 */
public final class EngineSelector {
  /** Prompt tokens that an engine is assumed to read in a millisecond. */
  private static final double PREFILL_TOKENS_PER_MILLI = 250.0;

  private static final double MILLIS_PER_REQUEST_IN_FLIGHT = 3.0;
  private static final double OTHER_ZONE_MILLIS = 4.0;
  private static final double BASE_MILLIS = 60.0;
  private static final double AVOIDED_MILLIS = 100_000.0;
  private static final double AFFINITY_MILLIS = 15.0;

  private final EngineDirectory directory;
  private final String ownZone;

  public EngineSelector(EngineDirectory directory, String ownZone) {
    this.directory = directory;
    this.ownZone = ownZone;
  }

  /** What the choice depends on. */
  public record Criteria(
      String service, List<PromptPart> prompt, String affinityKey, String spreadKey) {}

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
    for (Engine engine : directory.ofService(criteria.service())) {
      if (engine.record().draining() || excluded.contains(engine.record().id())) {
        continue;
      }
      double millis = predictedMillis(engine, criteria, nowNanos);
      if (engine == home) {
        millis -= AFFINITY_MILLIS;
      }
      if (best == null || millis < bestMillis) {
        best = engine;
        bestMillis = millis;
      }
    }
    return best;
  }

  /** The time in which an engine is expected to begin its answer, in milliseconds. */
  public static double expectedFirstEventMillis(Engine engine, List<PromptPart> prompt) {
    return 8.0 + engine.cachedPrefixes().uncachedTokens(prompt) / PREFILL_TOKENS_PER_MILLI;
  }

  private double predictedMillis(Engine engine, Criteria criteria, long nowNanos) {
    double millis = BASE_MILLIS;
    millis += engine.cachedPrefixes().uncachedTokens(criteria.prompt()) / PREFILL_TOKENS_PER_MILLI;
    millis += engine.inFlight() * MILLIS_PER_REQUEST_IN_FLIGHT;
    millis *= Math.max(1.0, engine.slowness());
    if (!engine.record().zone().equals(ownZone)) {
      millis += OTHER_ZONE_MILLIS;
    }
    if (engine.avoided(nowNanos)) {
      millis += AVOIDED_MILLIS;
    }
    String spreadKey = criteria.spreadKey();
    int spread = StableHash.of(engine.record().id(), spreadKey == null ? "" : spreadKey);
    return millis + (spread & 0xFF) / 256.0;
  }

  private Engine home(Criteria criteria, Set<String> excluded) {
    if (criteria.affinityKey() == null) {
      return null;
    }
    Engine home = null;
    int highest = 0;
    for (Engine engine : directory.ofService(criteria.service())) {
      if (engine.record().draining() || excluded.contains(engine.record().id())) {
        continue;
      }
      int rank = StableHash.of(engine.record().id(), criteria.affinityKey());
      if (home == null || rank > highest) {
        home = engine;
        highest = rank;
      }
    }
    return home;
  }
}
