package org.baykeel.gateway.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.baykeel.gateway.directory.Engine;
import org.baykeel.gateway.directory.EngineIncarnation;
import org.baykeel.gateway.directory.EngineRecord;
import org.baykeel.gateway.program.RequestFingerprint;
import org.baykeel.gateway.scheduling.StableHash;
import org.baykeel.gateway.topology.Topology;

/**
 * Assigns an engine to each suspect. Different suspects get different engines where there are
 * enough, so that the next end blames one of them only. Nodes that know the same suspects and
 * engines assign the same, so that tries of one request at several nodes do not make several
 * engines end at once.
 */
final class SuspectPlacement {
  /** Only so many suspects, the most blamed ones, are kept apart from each other. */
  private static final int MAX_SUSPECTS = 64;

  private static final int MAX_PREFERRED = 4;

  private final EngineEndHistory history;
  private final Topology topology;

  SuspectPlacement(EngineEndHistory history, Topology topology) {
    this.history = history;
    this.topology = topology;
  }

  /**
   * Returns the identifiers of the engines that should run a suspect: the one that is assigned to
   * it, then those that are assigned to no suspect. Engines of other regions are used only if this
   * node's region has none.
   *
   * @param engines the engines of its service
   */
  List<String> preferredEngines(
      RequestFingerprint suspect, Collection<Engine> engines, BlameAssessment assessment) {
    List<String> usable = usable(engines);
    Map<RequestFingerprint, String> assigned = assign(mostBlamed(assessment), usable);
    List<String> preferred = new ArrayList<>();
    if (assigned.containsKey(suspect)) {
      preferred.add(assigned.get(suspect));
    }
    usable.removeAll(assigned.values());
    usable.sort(Comparator.comparingInt((String id) -> rank(suspect, id)).reversed());
    preferred.addAll(usable.subList(0, Math.min(usable.size(), MAX_PREFERRED - preferred.size())));
    return preferred;
  }

  private List<String> usable(Collection<Engine> engines) {
    List<String> inRegion = new ArrayList<>();
    List<String> elsewhere = new ArrayList<>();
    for (Engine engine : engines) {
      EngineRecord record = engine.record();
      boolean ended = history.find(EngineIncarnation.of(record)) != null;
      if (!ended && !record.draining()) {
        boolean near = topology.localityOf(record.zone()).inRegion();
        (near ? inRegion : elsewhere).add(record.id());
      }
    }
    return inRegion.isEmpty() ? elsewhere : inRegion;
  }

  private static List<RequestFingerprint> mostBlamed(BlameAssessment assessment) {
    return assessment.suspects().stream()
        .filter(suspect -> !assessment.isFatal(suspect))
        .sorted(
            Comparator.comparingInt(assessment::blame)
                .reversed()
                .thenComparing(Comparator.naturalOrder()))
        .limit(MAX_SUSPECTS)
        .toList();
  }

  /**
   * Assigns to each suspect the free engine with the highest rank for it. Once none is free, the
   * engines of the least blamed suspects are shared first.
   */
  private static Map<RequestFingerprint, String> assign(
      List<RequestFingerprint> suspects, List<String> engines) {
    Map<RequestFingerprint, String> assigned = new HashMap<>();
    Set<String> free = new HashSet<>(engines);
    for (int i = 0; i < suspects.size() && !engines.isEmpty(); i++) {
      RequestFingerprint suspect = suspects.get(i);
      if (free.isEmpty()) {
        int shared = engines.size() - 1 - i % engines.size();
        assigned.put(suspect, assigned.get(suspects.get(shared)));
      } else {
        String best = highestRanked(suspect, free);
        free.remove(best);
        assigned.put(suspect, best);
      }
    }
    return assigned;
  }

  private static String highestRanked(RequestFingerprint suspect, Set<String> engines) {
    return engines.stream()
        .max(
            Comparator.comparingInt((String id) -> rank(suspect, id))
                .thenComparing(Comparator.naturalOrder()))
        .orElseThrow();
  }

  private static int rank(RequestFingerprint suspect, String engineId) {
    return StableHash.of(suspect.toString(), engineId);
  }
}
