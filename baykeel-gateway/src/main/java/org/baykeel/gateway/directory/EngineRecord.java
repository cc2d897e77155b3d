package org.baykeel.gateway.directory;

/**
 * What an engine states about itself.
 *
 * @param id names the engine; one that starts again may keep it
 * @param service the service it belongs to
 * @param host its IP address
 * @param port its TCP port
 * @param zone where it runs
 * @param slots requests it works on at once
 * @param draining whether it asks for no new work
 * @param coldMillis how much longer it bears few requests after a start, in milliseconds
 * @param startMillis when it started, in Unix milliseconds; 0 if it did not say
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

  /** Longer than the entry of an engine takes to come after its start. */
  private static final long ASSUMED_COLD_MILLIS = 3_000;

  /** An engine that does not say when it started. */
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

  /** An engine that bears what it can. */
  public EngineRecord(
      String id, String service, String host, int port, String zone, int slots, boolean draining) {
    this(id, service, host, port, zone, slots, draining, 0);
  }

  /** The same engine, which is to get no new work. */
  EngineRecord withoutNewWork() {
    return new EngineRecord(id, service, host, port, zone, slots, true, coldMillis, startMillis);
  }

  /** The same engine with another start; it counts as cold until it says how warm it is. */
  EngineRecord restartedAt(long startMillis) {
    return new EngineRecord(
        id, service, host, port, zone, slots, draining, ASSUMED_COLD_MILLIS, startMillis);
  }

  /** The same statement with the start that is known, if it names none itself. */
  EngineRecord withStartIfUnknown(long knownMillis) {
    return startMillis != 0 || knownMillis == 0
        ? this
        : new EngineRecord(id, service, host, port, zone, slots, draining, coldMillis, knownMillis);
  }
}
