package org.baykeel.gateway.directory;

import java.util.Optional;

/**
 * The properties of an engine as given in its entry.
 *
 * @param id the identifier of the engine, which it may keep when it restarts
 * @param service the service it belongs to
 * @param host its IP address
 * @param port its TCP port
 * @param zone the zone where it runs
 * @param slots requests it works on at once
 * @param draining whether it must get no new work
 * @param coldMillis for how much longer after its start it can take only few requests, in
 *     milliseconds
 * @param startMillis when it started, in Unix milliseconds; 0 if not given
 * @param softwareVersion the version of its software; empty while it is not known, after a restart
 *     that was found before the new entry arrived
 */
public record EngineRecord(
    String id,
    String service,
    String host,
    int port,
    String zone,
    int slots,
    boolean draining,
    long coldMillis,
    long startMillis,
    Optional<SoftwareVersion> softwareVersion) {

  /**
   * Cold time of an engine whose restart was found before its entry arrived. Longer than the entry
   * of an engine takes to arrive after its start.
   */
  private static final long ASSUMED_COLD_MILLIS = 3_000;

  /** Creates the record of an engine whose software version is not given. */
  public EngineRecord(
      String id,
      String service,
      String host,
      int port,
      String zone,
      int slots,
      boolean draining,
      long coldMillis,
      long startMillis) {
    this(
        id,
        service,
        host,
        port,
        zone,
        slots,
        draining,
        coldMillis,
        startMillis,
        Optional.of(SoftwareVersion.UNSTATED));
  }

  /** Creates the record of an engine whose start time is not given. */
  public EngineRecord(
      String id,
      String service,
      String host,
      int port,
      String zone,
      int slots,
      boolean draining,
      long coldMillis) {
    this(id, service, host, port, zone, slots, draining, coldMillis, 0);
  }

  /** Creates the record of an engine that is warm and whose start time is not given. */
  public EngineRecord(
      String id, String service, String host, int port, String zone, int slots, boolean draining) {
    this(id, service, host, port, zone, slots, draining, 0);
  }

  /** Returns the same record for an engine that must get no new work. */
  EngineRecord withoutNewWork() {
    return new EngineRecord(
        id, service, host, port, zone, slots, true, coldMillis, startMillis, softwareVersion);
  }

  /**
   * Returns the same record with another start time. Until its own entry arrives, the engine counts
   * as cold and the version of its software is not known.
   */
  EngineRecord restartedAt(long startMillis) {
    return new EngineRecord(
        id,
        service,
        host,
        port,
        zone,
        slots,
        draining,
        ASSUMED_COLD_MILLIS,
        startMillis,
        Optional.empty());
  }

  /** Returns the same record with the known start time if it does not give one itself. */
  EngineRecord withStartIfUnknown(long knownMillis) {
    return startMillis != 0 || knownMillis == 0
        ? this
        : new EngineRecord(
            id,
            service,
            host,
            port,
            zone,
            slots,
            draining,
            coldMillis,
            knownMillis,
            softwareVersion);
  }
}
