package org.baykeel.gateway.quarantine;

import org.baykeel.gateway.directory.Engine;
import org.baykeel.gateway.runtime.EventLoop;
import org.baykeel.gateway.telemetry.GatewayLog;

/** The quarantine of one node. Used only from the event loop. */
public final class RequestQuarantine implements Quarantine {
  private final EngineEndDetector detector;

  /**
   * Creates a quarantine without evidence.
   *
   * @param livenessCheck finds out whether an engine has ended
   * @param log receives one line for each check
   */
  public RequestQuarantine(EngineLivenessCheck livenessCheck, EventLoop eventLoop, GatewayLog log) {
    this.detector =
        new EngineEndDetector(livenessCheck, eventLoop, log, (engine, ended, requests) -> {});
  }

  @Override
  public void connectionLost(Engine engine, RunningRequest request, Runnable decided) {
    detector.connectionLost(engine, request, decided);
  }
}
