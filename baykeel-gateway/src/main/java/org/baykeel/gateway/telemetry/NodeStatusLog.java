package org.baykeel.gateway.telemetry;

import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

/** Writes a line whenever a process comes to believe something else about itself or its store. */
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
   * Creates a log of a process that believes nothing yet.
   *
   * @param configurationRecent whether the configuration is proven recently enough for keys
   * @param proofAgeMillis how long ago it was proven
   * @param ready whether new callers should come here
   * @param storeReachable whether the store answers
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

  /** Compares with what was believed before. */
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
