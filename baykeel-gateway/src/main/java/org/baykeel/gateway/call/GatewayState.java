package org.baykeel.gateway.call;

import java.util.List;
import java.util.Locale;
import org.baykeel.gateway.configuration.GatewayConfiguration;
import org.baykeel.gateway.directory.Engine;
import org.baykeel.gateway.directory.EngineDirectory;
import org.baykeel.gateway.directory.EngineEntryFault;
import org.baykeel.gateway.directory.EngineEntryFaults;
import org.baykeel.gateway.directory.EngineId;
import org.baykeel.gateway.directory.EngineRecord;
import org.baykeel.gateway.directory.EngineRestartListener;
import org.baykeel.gateway.directory.SoftwareVersion;
import org.baykeel.gateway.runtime.EventLoop;
import org.baykeel.gateway.storage.StoreHealth;
import org.baykeel.gateway.telemetry.GatewayEvent;
import org.baykeel.gateway.telemetry.GatewayLog;

/**
 * The state of a node: the newest configuration, the engines, and whether the node is stopping. The
 * version of the configuration never decreases while the process runs.
 */
public final class GatewayState {
  /**
   * Engines write their entries again within about 2 s of the store's return; an entry that is
   * missing after that belongs to an engine that is gone. The remaining 0.2 s are a margin.
   */
  private static final long LAPSE_WINDOW_NANOS = 2_200_000_000L;

  private static final long STORE_LOST_NANOS = 3_500_000_000L;

  private final EventLoop eventLoop;
  private final StoreHealth storeHealth;
  private final EngineDirectory engines;
  private final GatewayLog log;
  private final EngineEntryFaults entryFaults = new EngineEntryFaults();
  private GatewayConfiguration configuration;
  private boolean enginesKnown;
  private StopSchedule stopSchedule;

  public GatewayState(
      EventLoop eventLoop, StoreHealth storeHealth, EngineDirectory engines, GatewayLog log) {
    this.eventLoop = eventLoop;
    this.storeHealth = storeHealth;
    this.engines = engines;
    this.log = log;
    engines.onRestart(this::logRestart);
  }

  private void logRestart(
      EngineId id, long startBefore, long startNow, EngineRestartListener.Source source) {
    log.write(
        GatewayEvent.ENGINE_RESTARTED,
        "engine",
        id.value(),
        "born_before",
        startBefore,
        "born",
        startNow,
        "source",
        source.name().toLowerCase(Locale.ROOT));
  }

  /** The configuration in force, or null if none is known yet. */
  public GatewayConfiguration configuration() {
    return configuration;
  }

  /** Adopts a configuration if it is newer than the one in force. */
  public void adoptIfNewer(GatewayConfiguration newConfiguration) {
    if (configuration != null && newConfiguration.version() <= configuration.version()) {
      log.write(
          GatewayEvent.CONFIGURATION_IGNORED,
          "version",
          newConfiguration.version(),
          "in_force",
          configuration.version());
      return;
    }
    configuration = newConfiguration;
    log.write(
        GatewayEvent.CONFIGURATION_IN_FORCE,
        "version",
        newConfiguration.version(),
        "routes",
        newConfiguration.routeCount());
  }

  /** Replaces the list of engines. */
  public void replaceEngines(List<EngineRecord> records) {
    replaceEngines(records, List.of());
  }

  /**
   * Replaces the list of engines.
   *
   * @param faults the entries that do not describe a usable engine
   */
  public void replaceEngines(List<EngineRecord> records, List<EngineEntryFault> faults) {
    enginesKnown = true;
    List<EngineId> unusable = faults.stream().map(EngineEntryFault::engine).toList();
    engines.replaceAll(records, unusable, lapseWindowEndNanos(), eventLoop.nanoTime());
    entryFaults.retain(unusable);
    faults.forEach(this::recordFault);
    log.write(GatewayEvent.ENGINES_CHANGED, "listed", records.size(), "known", engines.size());
  }

  /**
   * Withdraws an engine whose entry is unusable: it gets no new work until the entry is usable
   * again.
   */
  public void withdrawEngine(EngineEntryFault fault) {
    engines.withdraw(fault.engine());
    recordFault(fault);
  }

  /** The number of unusable entries, counted by engine. */
  public long unusableEntries() {
    return entryFaults.size();
  }

  private void recordFault(EngineEntryFault fault) {
    if (entryFaults.note(fault)) {
      log.write(
          GatewayEvent.ENGINE_ENTRY_UNUSABLE,
          "engine",
          fault.engine().value(),
          "field",
          fault.field(),
          "reason",
          fault.reason().name().toLowerCase(Locale.ROOT));
    }
  }

  /** Adopts an engine's new record. */
  public void putEngine(EngineRecord record) {
    entryFaults.clear(new EngineId(record.id()));
    engines.put(record, eventLoop.nanoTime());
    log.write(
        GatewayEvent.ENGINES_CHANGED,
        "engine",
        record.id(),
        "draining",
        record.draining(),
        "cold_ms",
        record.coldMillis(),
        "version",
        record.softwareVersion().map(SoftwareVersion::toString).orElse("unknown"),
        "known",
        engines.size());
  }

  /** Removes an engine whose entry is gone. */
  public void removeEngine(String id) {
    entryFaults.clear(new EngineId(id));
    engines.remove(id, lapseWindowEndNanos(), eventLoop.nanoTime());
    log.write(
        GatewayEvent.ENGINES_CHANGED,
        "engine",
        id,
        "removed",
        true,
        "disturbed",
        storeFailedRecently(),
        "known",
        engines.size());
  }

  /**
   * Whether a call to the store failed within the last 2.2 s, so that entries of engines may have
   * expired in an outage.
   */
  public boolean storeFailedRecently() {
    return lapseWindowEndNanos() - eventLoop.nanoTime() > 0;
  }

  private long lapseWindowEndNanos() {
    long now = eventLoop.nanoTime();
    long sinceFailureNanos = storeHealth.nanosSinceFailure(now);
    return sinceFailureNanos > LAPSE_WINDOW_NANOS
        ? now
        : now - sinceFailureNanos + LAPSE_WINDOW_NANOS;
  }

  /** Whether the configuration in force is known to be recent. */
  public boolean configurationRecent() {
    return storeHealth.nanosSinceAnswer(eventLoop.nanoTime()) < STORE_LOST_NANOS;
  }

  /** The engines of a service, including draining ones. */
  public List<Engine> engines(String service) {
    return engines.ofService(service);
  }

  /** Starts to stop: the node is not ready from now on. */
  void stop(StopSchedule schedule) {
    stopSchedule = schedule;
  }

  /** Whether the node is stopping. */
  public boolean stopping() {
    return stopSchedule != null;
  }

  /** Whether a planned stop ends the process within some milliseconds. */
  boolean endsWithin(double millis) {
    return stopSchedule != null
        && eventLoop.nanoTime() + millis * 1e6 - stopSchedule.endNanos() > 0;
  }

  /** Whether the node accepts a request that may last until its deadline. */
  boolean acceptsUntil(long deadlineNanos) {
    return stopSchedule == null || stopSchedule.accepts(eventLoop.nanoTime(), deadlineNanos);
  }

  /** Whether the node should get new callers. */
  public boolean ready() {
    return configuration != null && enginesKnown && !stopping() && configurationRecent();
  }
}
