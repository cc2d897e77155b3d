package org.baykeel.gateway.directory;

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
    long startMillis) {

  /**
   * Cold time of an engine whose restart was found before its entry arrived. Longer than the entry
   * of an engine takes to arrive after its start.
   */
  private static final long ASSUMED_COLD_MILLIS = 3_000;

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
    return new EngineRecord(id, service, host, port, zone, slots, true, coldMillis, startMillis);
  }

  /**
   * Returns the same record with another start time. The engine counts as cold until its own entry
   * gives its cold time.
   */
  EngineRecord restartedAt(long startMillis) {
    return new EngineRecord(
        id, service, host, port, zone, slots, draining, ASSUMED_COLD_MILLIS, startMillis);
  }

  /** Returns the same record with the known start time if it does not give one itself. */
  EngineRecord withStartIfUnknown(long knownMillis) {
    return startMillis != 0 || knownMillis == 0
        ? this
        : new EngineRecord(id, service, host, port, zone, slots, draining, coldMillis, knownMillis);
  }
}
