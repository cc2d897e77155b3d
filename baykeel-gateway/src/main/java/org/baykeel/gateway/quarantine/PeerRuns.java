package org.baykeel.gateway.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.baykeel.gateway.directory.EngineIncarnation;
import org.baykeel.gateway.program.RequestFingerprint;

/**
 * The runs of peers of which notices hold, found by identifier, by request and by engine without a
 * look at the others: each request, notice and response looks for some of them.
 */
final class PeerRuns {
  private final Consumer<PeerRun> onRemoved;
  private final Map<Long, PeerRun> byId = new LinkedHashMap<>();
  private final Map<RequestFingerprint, Map<Long, PeerRun>> byRequest = new HashMap<>();
  private final Map<EngineIncarnation, Map<Long, PeerRun>> byEngine = new HashMap<>();

  /** No run expires before this time, by the event loop's clock; only if there are runs. */
  private long earliestExpiryNanos;

  private long examined;

  /**
   * Creates an empty collection.
   *
   * @param onRemoved receives each run that is removed, for whatever reason
   */
  PeerRuns(Consumer<PeerRun> onRemoved) {
    this.onRemoved = onRemoved;
  }

  boolean isEmpty() {
    return byId.isEmpty();
  }

  int size() {
    return byId.size();
  }

  boolean contains(long id) {
    return byId.containsKey(id);
  }

  /** Returns the run with an identifier, or null if there is none. */
  PeerRun find(long id) {
    return byId.get(id);
  }

  /** Returns the run that was added or replaced longest ago. */
  PeerRun eldest() {
    return byId.values().iterator().next();
  }

  /** Adds a run whose identifier is new. */
  void add(PeerRun run) {
    boolean earliest = byId.isEmpty() || run.expiresNanos() - earliestExpiryNanos < 0;
    earliestExpiryNanos = earliest ? run.expiresNanos() : earliestExpiryNanos;
    byId.put(run.id(), run);
    byRequest.computeIfAbsent(run.request(), any -> new LinkedHashMap<>()).put(run.id(), run);
    byEngine.computeIfAbsent(run.engine(), any -> new LinkedHashMap<>()).put(run.id(), run);
  }

  /** Removes the run with an identifier and returns it; null if there is none. */
  PeerRun remove(long id) {
    PeerRun removed = byId.remove(id);
    if (removed != null) {
      removeFrom(byRequest, removed.request(), id);
      removeFrom(byEngine, removed.engine(), id);
      onRemoved.accept(removed);
    }
    return removed;
  }

  private static <K> void removeFrom(Map<K, Map<Long, PeerRun>> index, K key, long id) {
    Map<Long, PeerRun> runs = index.get(key);
    runs.remove(id);
    if (runs.isEmpty()) {
      index.remove(key);
    }
  }

  /** Removes the runs whose notices do not hold any more. */
  void removeExpired(long nowNanos) {
    if (byId.isEmpty() || nowNanos - earliestExpiryNanos <= 0) {
      return;
    }
    List<PeerRun> all = copyOf(byId.values());
    all.stream().filter(run -> nowNanos - run.expiresNanos() > 0).forEach(run -> remove(run.id()));
    byId.values().stream()
        .mapToLong(PeerRun::expiresNanos)
        .reduce((one, other) -> one - other <= 0 ? one : other)
        .ifPresent(nanos -> earliestExpiryNanos = nanos);
  }

  /** Returns the runs of a request. */
  List<PeerRun> of(RequestFingerprint request) {
    Map<Long, PeerRun> runs = byRequest.get(request);
    return runs == null ? List.of() : copyOf(runs.values());
  }

  /** Returns the runs at an engine. */
  List<PeerRun> at(EngineIncarnation engine) {
    Map<Long, PeerRun> runs = byEngine.get(engine);
    return runs == null ? List.of() : copyOf(runs.values());
  }

  /** Returns all runs. */
  List<PeerRun> all() {
    return copyOf(byId.values());
  }

  private List<PeerRun> copyOf(Collection<PeerRun> runs) {
    examined += runs.size();
    return new ArrayList<>(runs);
  }

  /** Returns how many runs were looked at in all searches. */
  long examined() {
    return examined;
  }
}
