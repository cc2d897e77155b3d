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
 *
 * <p>An engine may start again under its identifier. Its lives are told apart by their starts: a
 * later one is a new {@link Engine} about which nothing is believed, an earlier one is an old
 * message. Requests that are under way keep the object of the life that they were sent to, which
 * counts as removed.
 */
public final class EngineDirectory {
  private final long maxLapseNanos;
  private final Map<String, Engine> byId = new HashMap<>();
  private final Map<String, List<Engine>> byService = new HashMap<>();
  private final Map<String, ServicePerformance> performanceByService = new HashMap<>();
  private final Map<String, Long> lapsedUntilNanos = new HashMap<>();
  private EngineSuspicionListener suspicionListener = EngineSuspicionListener.NONE;
  private EngineRestartListener restartListener = EngineRestartListener.NONE;

  /**
   * Creates a directory.
   *
   * @param longestLapseNanos how long an engine whose entry vanished around an outage may be used
   *     at most; under the time after which a leaving engine must get no work
   */
  public EngineDirectory(long longestLapseNanos) {
    this.maxLapseNanos = longestLapseNanos;
  }

  /**
   * Sets who hears when an engine becomes suspect here.
   *
   * @param listener hears of all engines, also of those known before
   */
  public void onSuspicion(EngineSuspicionListener listener) {
    suspicionListener = listener;
  }

  /** Sets who hears when an engine has started again under its identifier. */
  public void onRestart(EngineRestartListener listener) {
    restartListener = listener;
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
    replaceAll(records, List.of(), lapsesEndNanos, nowNanos);
  }

  /**
   * Adopts the whole list of engines, some of whose entries can't be used.
   *
   * @param unusable engines that have an entry which names none to use
   * @param lapsesEndNanos when entries that lapsed in an outage are back; in the past if there was
   *     no outage lately
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
  }

  /** Adds an engine that is warm, or adopts its new record. */
  public void put(EngineRecord record) {
    put(record, 0);
  }

  /**
   * Adds an engine or adopts its new record; one of an earlier life than the known one changes
   * nothing.
   *
   * @param nowNanos the moment from which on its cold time is counted
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
      known.update(record.withStartIfUnknown(previous.startMillis()));
      known.updateColdPeriod(nowNanos);
    } else {
      // What is known of its work is of another service's.
      drop(known);
      add(record.withStartIfUnknown(previous.startMillis()), nowNanos);
    }
  }

  private static boolean isRestart(EngineRecord previous, long startMillis) {
    return previous.startMillis() != 0 && startMillis > previous.startMillis();
  }

  /**
   * Something other than its entry tells when an engine started. If that is later than known, all
   * beliefs are dropped at once, and the engine counts as cold until its entry comes or is overdue.
   *
   * @param startMillis its start in Unix milliseconds; 0 if it was not told
   * @return false if the engine is not known, or if what was told is of an earlier life of it and
   *     must not be believed of the present one
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
    drop(former);
    add(record, nowNanos);
    restartListener.engineRestarted(
        new EngineId(record.id()), former.record().startMillis(), record.startMillis(), source);
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
  }

  /**
   * An engine's entry names none to use: it gets no new work, as if it drained, until its entry is
   * good again. Requests under way go on.
   */
  public void withdraw(EngineId id) {
    Engine known = byId.get(id.value());
    if (known != null) {
      lapsedUntilNanos.remove(id.value());
      known.update(known.record().withoutNewWork());
    }
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
    long graceNanos = Math.min(lapsesEndNanos - nowNanos, maxLapseNanos);
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
