package org.baykeel.gateway.directory;

/**
 * What an engine states about itself.
 *
 * @param id one life of one engine; never used again
 * @param service the service it belongs to
 * @param host its IP address
 * @param port its TCP port
 * @param zone where it runs
 * @param slots requests it works on at once
 * @param draining whether it asks for no new work
 * @param coldMillis how much longer it bears few requests after a start, in milliseconds
 */
public record EngineRecord(
    String id,
    String service,
    String host,
    int port,
    String zone,
    int slots,
    boolean draining,
    long coldMillis) {

  /** An engine that bears what it can. */
  public EngineRecord(
      String id, String service, String host, int port, String zone, int slots, boolean draining) {
    this(id, service, host, port, zone, slots, draining, 0);
  }
}
