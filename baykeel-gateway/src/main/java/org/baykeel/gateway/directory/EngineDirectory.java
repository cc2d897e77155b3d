package org.baykeel.gateway.directory;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The engines by service. An engine whose entry vanishes around an outage of the store stays usable
 * for a grace period, since the store removes entries of live engines during its own outages and
 * restores them soon after. An engine whose entry vanishes at any other time, or that drains, gets
 * no new work at once.
 *
 * <p>An engine may restart under its identifier. Its incarnations are distinguished by their start
 * times: a later one is a new {@link Engine} without observations, and a message of an earlier one
 * is out of date. Requests that are in flight keep the object of the incarnation that they were
 * sent to, which counts as removed.
 */
public final class EngineDirectory {
  private final long maxLapseNanos;
  private final Map<String, Engine> byId = new HashMap<>();
  private final Map<String, List<Engine>> byService = new HashMap<>();
  private final Map<String, ServicePerformance> performanceByService = new HashMap<>();
  private final Map<String, Long> lapsedUntilNanos = new HashMap<>();
  private final ServiceVersions versions = new ServiceVersions(this::ofService);
  private EngineSuspicionListener suspicionListener = EngineSuspicionListener.NONE;
  private final List<EngineRestartListener> restartListeners = new ArrayList<>();
  private Consumer<Engine> removalListener = engine -> {};

  /**
   * Creates a directory.
   *
   * @param maxLapseNanos the longest time for which an engine whose entry vanished around an outage
   *     may be used; must be less than the time after which a leaving engine must get no work
   */
  public EngineDirectory(long maxLapseNanos) {
    this.maxLapseNanos = maxLapseNanos;
  }

  /**
   * Sets the listener for engines that become suspect at this node.
   *
   * @param listener is notified about all engines, including those that are already known
   */
  public void onSuspicion(EngineSuspicionListener listener) {
    suspicionListener = listener;
  }

  /** Adds a listener for engines that have restarted under their identifier. */
  public void onRestart(EngineRestartListener listener) {
    restartListeners.add(listener);
  }

  /** Sets the listener for engines whose entry is gone. */
  public void onRemoval(Consumer<Engine> listener) {
    removalListener = listener;
  }

  /** Returns the software versions that the engines of each service have or had. */
  public ServiceVersions versions() {
    return versions;
  }

  /**
   * Returns the engine with an identifier.
   *
   * @return the engine, or null if it is not known
   */
  public Engine find(EngineId id) {
    return byId.get(id.value());
  }

  /**
   * Adopts the complete list of engines.
   *
   * @param lapsesEndNanos when entries that lapsed in an outage of the store are back; in the past
   *     if none can have lapsed
   */
  public void replaceAll(List<EngineRecord> records, long lapsesEndNanos, long nowNanos) {
    replaceAll(records, List.of(), lapsesEndNanos, nowNanos);
  }

  /**
   * Adopts the complete list of engines, some of whose entries are unusable.
   *
   * @param unusable engines that have an entry in the store that is not a valid record
   * @param lapsesEndNanos when entries that lapsed in an outage of the store are back; in the past
   *     if none can have lapsed
   */
  public void replaceAll(
      List<EngineRecord> records, List<EngineId> unusable, long lapsesEndNanos, long nowNanos) {
    Set<String> present = new HashSet<>();
    for (EngineId id : unusable) {
      present.add(id.value());
      withdraw(id);
    }
    for (EngineRecord record : records) {
      present.add(record.id());
      put(record, nowNanos);
    }
    for (String id : new ArrayList<>(byId.keySet())) {
      if (!present.contains(id)) {
        remove(id, lapsesEndNanos, nowNanos);
      }
    }
    versions.gap(nowNanos);
  }

  /** Adds an engine that is warm, or adopts its new record. */
  public void put(EngineRecord record) {
    put(record, 0);
  }

  /**
   * Adds an engine or adopts its new record. A record of an earlier incarnation than the known one
   * changes nothing.
   *
   * @param nowNanos the moment from which the remaining cold time is counted
   */
  public void put(EngineRecord record, long nowNanos) {
    Engine known = byId.get(record.id());
    if (known == null) {
      add(record, nowNanos);
      return;
    }
    EngineRecord previous = known.record();
    if (record.startMillis() != 0 && record.startMillis() < previous.startMillis()) {
      return;
    }
    lapsedUntilNanos.remove(record.id());
    if (isRestart(previous, record.startMillis())) {
      replace(known, record, nowNanos, EngineRestartListener.Source.ENTRY);
    } else if (previous.service().equals(record.service())) {
      adopt(known, record.withStartIfUnknown(previous.startMillis()), nowNanos);
    } else {
      // The observations of the engine belong to its former service.
      drop(known, nowNanos);
      add(record.withStartIfUnknown(previous.startMillis()), nowNanos);
    }
  }

  private void adopt(Engine known, EngineRecord record, long nowNanos) {
    EngineRecord previous = known.record();
    known.update(record);
    known.updateColdPeriod(nowNanos);
    if (!record.softwareVersion().equals(previous.softwareVersion())) {
      versions.departed(previous, nowNanos);
      versions.added();
    }
  }

  private static boolean isRestart(EngineRecord previous, long startMillis) {
    return previous.startMillis() != 0 && startMillis > previous.startMillis();
  }

  /**
   * Adopts the start time of an engine from a message other than its entry. If it is later than the
   * known one, all observations are dropped at once, and the engine counts as cold until its entry
   * arrives or is overdue.
   *
   * @param startMillis its start in Unix milliseconds; 0 if it was not given
   * @return false if the engine is not known, or if the message belongs to an earlier incarnation
   *     and must not be applied to the present one
   */
  public boolean adoptStartTime(EngineId id, long startMillis, long nowNanos) {
    Engine known = byId.get(id.value());
    if (known == null) {
      return false;
    }
    EngineRecord previous = known.record();
    if (startMillis == 0 || startMillis == previous.startMillis()) {
      return true;
    }
    if (startMillis < previous.startMillis()) {
      return false;
    }
    if (isRestart(previous, startMillis)) {
      EngineRecord after = previous.restartedAt(startMillis);
      replace(known, after, nowNanos, EngineRestartListener.Source.REPORT);
    } else {
      known.update(previous.withStartIfUnknown(startMillis));
    }
    return true;
  }

  private void replace(
      Engine former, EngineRecord record, long nowNanos, EngineRestartListener.Source source) {
    drop(former, nowNanos);
    add(record, nowNanos);
    EngineId id = new EngineId(record.id());
    for (EngineRestartListener listener : restartListeners) {
      listener.engineRestarted(id, former.record().startMillis(), record.startMillis(), source);
    }
  }

  private void add(EngineRecord record, long nowNanos) {
    Engine engine =
        new Engine(
            record,
            performanceOf(record.service()),
            suspected -> suspicionListener.engineSuspected(suspected));
    engine.updateColdPeriod(nowNanos);
    byId.put(record.id(), engine);
    byService.computeIfAbsent(record.service(), service -> new ArrayList<>()).add(engine);
    versions.added();
  }

  /**
   * Handles an unusable entry: the engine gets no new work, as if it drained, until its entry is
   * usable again. Requests in flight continue.
   */
  public void withdraw(EngineId id) {
    Engine known = byId.get(id.value());
    if (known != null) {
      lapsedUntilNanos.remove(id.value());
      known.update(known.record().withoutNewWork());
    }
  }

  /**
   * Handles an engine whose entry is gone.
   *
   * @param lapsesEndNanos when entries that lapsed in an outage of the store are back; in the past
   *     if none can have lapsed
   */
  public void remove(String id, long lapsesEndNanos, long nowNanos) {
    Engine engine = byId.get(id);
    if (engine == null) {
      // The engine came and went between two answers of the store.
      versions.gap(nowNanos);
      return;
    }
    if (lapsedUntilNanos.containsKey(id)) {
      return;
    }
    long graceNanos = Math.min(lapsesEndNanos - nowNanos, maxLapseNanos);
    if (graceNanos <= 0 || engine.record().draining()) {
      drop(engine, nowNanos);
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
        drop(byId.get(lapsed.getKey()), nowNanos);
      }
    }
  }

  private void drop(Engine engine, long nowNanos) {
    engine.markRemoved();
    versions.departed(engine.record(), nowNanos);
    byId.remove(engine.record().id());
    byService.get(engine.record().service()).remove(engine);
    removalListener.accept(engine);
  }

  /** Returns the performance of the engines of a service. It outlives the engines. */
  public ServicePerformance performanceOf(String service) {
    return performanceByService.computeIfAbsent(service, unknown -> new ServicePerformance());
  }

  /** Returns the engines of a service, including draining ones. */
  public List<Engine> ofService(String service) {
    return byService.getOrDefault(service, List.of());
  }

  /** Returns the engines of all services, including draining ones. */
  public Collection<Engine> all() {
    return Collections.unmodifiableCollection(byId.values());
  }

  /** Returns the number of known engines. */
  public int size() {
    return byId.size();
  }
}
