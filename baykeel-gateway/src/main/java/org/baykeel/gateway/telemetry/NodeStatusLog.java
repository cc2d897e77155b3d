package org.baykeel.gateway.telemetry;

import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

/**
 * Logs changes of the node's status: whether its configuration is recent, whether it is ready and
 * whether it reaches the store.
 */
public final class NodeStatusLog {
  private final GatewayLog log;
  private final BooleanSupplier configurationRecent;
  private final LongSupplier proofAgeMillis;
  private final BooleanSupplier ready;
  private final BooleanSupplier storeReachable;
  private boolean configurationWasRecent;
  private boolean wasReady;
  private boolean storeWasReachable;

  /**
   * Creates a log whose first comparison is with a node that has no recent configuration, is not
   * ready and does not reach the store.
   *
   * @param configurationRecent whether the configuration was confirmed recently enough to check
   *     keys
   * @param proofAgeMillis the time since the configuration was confirmed, in milliseconds
   * @param ready whether new callers should be directed to the node
   * @param storeReachable whether the node reaches the store
   */
  public NodeStatusLog(
      GatewayLog log,
      BooleanSupplier configurationRecent,
      LongSupplier proofAgeMillis,
      BooleanSupplier ready,
      BooleanSupplier storeReachable) {
    this.log = log;
    this.configurationRecent = configurationRecent;
    this.proofAgeMillis = proofAgeMillis;
    this.ready = ready;
    this.storeReachable = storeReachable;
  }

  /** Writes an event for each status that changed since the last call. */
  public void logChanges() {
    if (configurationRecent.getAsBoolean() != configurationWasRecent) {
      configurationWasRecent = !configurationWasRecent;
      log.write(
          configurationWasRecent
              ? GatewayEvent.CONFIGURATION_RECENT
              : GatewayEvent.CONFIGURATION_STALE,
          "proven_ms_ago",
          proofAgeMillis.getAsLong());
    }
    if (ready.getAsBoolean() != wasReady) {
      wasReady = !wasReady;
      log.write(GatewayEvent.GATEWAY_READY, "ready", wasReady);
    }
    if (storeReachable.getAsBoolean() != storeWasReachable) {
      storeWasReachable = !storeWasReachable;
      log.write(storeWasReachable ? GatewayEvent.STORE_REGAINED : GatewayEvent.STORE_LOST);
    }
  }
}
