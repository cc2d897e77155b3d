package org.baykeel.gateway.directory;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The engines by service. An engine whose entry vanishes around an outage of the store stays usable
 * for a grace period, since the store removes entries of live engines during its own outages and
 * has them back soon after; one that vanishes in calm times, or that drains, gets no new work at
 * once.
 */
public final class EngineDirectory {
  private final long longestLapseNanos;
  private final Map<String, Engine> byId = new HashMap<>();
  private final Map<String, List<Engine>> byService = new HashMap<>();
  private final Map<String, ServicePerformance> performanceByService = new HashMap<>();
  private final Map<String, Long> lapsedUntilNanos = new HashMap<>();
  private EngineSuspicionListener suspicionListener = EngineSuspicionListener.NONE;

  /**
   * Creates a directory.
   *
   * @param longestLapseNanos how long an engine whose entry vanished around an outage may be used
   *     at most; under the time after which a leaving engine must get no work
   */
  public EngineDirectory(long longestLapseNanos) {
    this.longestLapseNanos = longestLapseNanos;
  }

  /**
   * Sets who hears when an engine becomes suspect here.
   *
   * @param listener hears of all engines, also of those known before
   */
  public void onSuspicion(EngineSuspicionListener listener) {
    suspicionListener = listener;
  }

  /**
   * The engine with an identifier.
   *
   * @return the engine, or null if it is not known
   */
  public Engine find(EngineId id) {
    return byId.get(id.value());
  }

  /**
   * Adopts the whole list of engines.
   *
   * @param lapsesEndNanos when entries that lapsed in an outage are back; in the past if there was
   *     no outage lately
   */
  public void replaceAll(List<EngineRecord> records, long lapsesEndNanos, long nowNanos) {
    Set<String> present = new HashSet<>();
    for (EngineRecord record : records) {
      present.add(record.id());
      put(record, nowNanos);
    }
    for (String id : new ArrayList<>(byId.keySet())) {
      if (!present.contains(id)) {
        remove(id, lapsesEndNanos, nowNanos);
      }
    }
  }

  /** Adds an engine that is warm, or adopts its new record. */
  public void put(EngineRecord record) {
    put(record, 0);
  }

  /**
   * Adds an engine or adopts its new record.
   *
   * @param nowNanos the moment from which on its cold time is counted
   */
  public void put(EngineRecord record, long nowNanos) {
    lapsedUntilNanos.remove(record.id());
    Engine known = byId.get(record.id());
    if (known != null) {
      known.update(record);
      known.noteWarmth(nowNanos);
      return;
    }
    Engine engine =
        new Engine(
            record,
            performanceOf(record.service()),
            suspected -> suspicionListener.engineSuspected(suspected));
    engine.noteWarmth(nowNanos);
    byId.put(record.id(), engine);
    byService.computeIfAbsent(record.service(), service -> new ArrayList<>()).add(engine);
  }

  /**
   * An engine's entry is gone.
   *
   * @param lapsesEndNanos when entries that lapsed in an outage are back; in the past if there was
   *     no outage lately
   */
  public void remove(String id, long lapsesEndNanos, long nowNanos) {
    Engine engine = byId.get(id);
    if (engine == null || lapsedUntilNanos.containsKey(id)) {
      return;
    }
    long graceNanos = Math.min(lapsesEndNanos - nowNanos, longestLapseNanos);
    if (graceNanos <= 0 || engine.record().draining()) {
      drop(engine);
    } else {
      lapsedUntilNanos.put(id, nowNanos + graceNanos);
    }
  }

  /** Drops engines whose grace period is over. */
  public void expireLapsed(long nowNanos) {
    if (lapsedUntilNanos.isEmpty()) {
      return;
    }
    for (Map.Entry<String, Long> lapsed : new ArrayList<>(lapsedUntilNanos.entrySet())) {
      if (nowNanos - lapsed.getValue() >= 0) {
        lapsedUntilNanos.remove(lapsed.getKey());
        drop(byId.get(lapsed.getKey()));
      }
    }
  }

  private void drop(Engine engine) {
    engine.markRemoved();
    byId.remove(engine.record().id());
    byService.get(engine.record().service()).remove(engine);
  }

  /** How fast the engines of a service work; outlives each of them. */
  public ServicePerformance performanceOf(String service) {
    return performanceByService.computeIfAbsent(service, unknown -> new ServicePerformance());
  }

  /** The engines of a service, draining ones among them. */
  public List<Engine> ofService(String service) {
    return byService.getOrDefault(service, List.of());
  }

  /** The engines of all services, draining ones among them. */
  public Collection<Engine> all() {
    return Collections.unmodifiableCollection(byId.values());
  }

  /** How many engines are known. */
  public int size() {
    return byId.size();
  }
}
