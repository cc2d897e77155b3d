package org.baykeel.gateway.telemetry;

/** Takes structured lines; never blocks. */
public interface GatewayLog {

  /**
   * Writes one line.
   *
   * @param event what happened
   * @param fields names and values in turn
   */
  void write(GatewayEvent event, Object... fields);
}
