package org.baykeel.gateway.telemetry;

/** The closed list of numbered events of the gateway; docs/GATEWAY-EVENTS.md lists them. */
public enum GatewayEvent {
  GATEWAY_STARTED(300),
  GATEWAY_READY(301),
  GATEWAY_STOPPING(302),
  GATEWAY_STOPPED(303),
  SETTINGS_RELOADED(304),
  CONFIGURATION_IN_FORCE(310),
  CONFIGURATION_IGNORED(311),
  ENGINES_CHANGED(312),
  ENGINE_REPORTED(313),
  PEERS_KNOWN(314),
  PROGRAM_TAKEN_OVER(315),
  LIMIT_LEASE_TAKEN(316),
  LIMIT_LEASE_LOST(317),
  CONFIGURATION_STALE(318),
  CONFIGURATION_RECENT(319),
  STORE_LOST(320),
  STORE_REGAINED(321),
  STORE_PATH_CHANGED(322),
  ZONE_CORDONED(323),
  ZONE_UNCORDONED(324),
  ENGINE_COLD(325),
  SPILLED_TO_REGION(326),
  CONNECTION_SILENT(327),
  CALL_ENDED(330),
  CALL_REFUSED(331),
  ATTEMPT_ENDED(332),
  BAD_REQUEST(334),
  LINES_DROPPED(340),
  USAGE(341),
  ENGINE_LEFT(355),
  ENGINE_RETURNED(356),
  FAULT(399);

  private final int number;

  GatewayEvent(int number) {
    this.number = number;
  }

  /** The number of the event; never reused. */
  public int number() {
    return number;
  }
}
