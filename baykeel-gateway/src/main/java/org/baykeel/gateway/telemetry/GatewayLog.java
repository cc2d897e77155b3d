package org.baykeel.gateway.telemetry;

/** The node's structured log of numbered events. Writing never blocks. */
public interface GatewayLog {

  /**
   * Writes one event.
   *
   * @param event the event
   * @param fields alternating names and values
   */
  void write(GatewayEvent event, Object... fields);
}
