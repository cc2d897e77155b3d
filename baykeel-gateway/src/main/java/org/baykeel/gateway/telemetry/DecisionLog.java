package org.baykeel.gateway.telemetry;

/** Takes structured lines; never blocks. */
public interface DecisionLog {

  /**
   * Writes one line.
   *
   * @param event what happened
   * @param fields names and values in turn
   */
  void write(GatewayEvent event, Object... fields);
}
