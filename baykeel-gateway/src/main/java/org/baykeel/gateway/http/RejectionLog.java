package org.baykeel.gateway.http;

import org.baykeel.gateway.runtime.EventLoop;
import org.baykeel.gateway.telemetry.GatewayEvent;
import org.baykeel.gateway.telemetry.GatewayLog;
import org.baykeel.gateway.telemetry.GatewayMetrics;
import org.baykeel.gateway.telemetry.GatewayMetrics.RequestRejection;

/**
 * Counts and logs the requests and connections that are rejected before a call begins. The lines
 * are bounded, since a single caller can cause any number of them.
 */
final class RejectionLog {
  private static final int MAX_LINES = 20;
  private static final long WINDOW_NANOS = 1_000_000_000L;

  private final GatewayMetrics metrics;
  private final EventLoop eventLoop;
  private final GatewayLog log;
  private long windowNanos;
  private int lines;
  private long suppressed;

  RejectionLog(GatewayMetrics metrics, EventLoop eventLoop, GatewayLog log) {
    this.metrics = metrics;
    this.eventLoop = eventLoop;
    this.log = log;
    this.windowNanos = eventLoop.nanoTime();
  }

  /**
   * Records a rejection.
   *
   * @param status the status that the caller gets; 0 if its connection is closed without a response
   */
  void rejected(RequestRejection cause, int status, String detail) {
    metrics.requestRejected(cause);
    startWindow();
    if (lines < MAX_LINES) {
      lines++;
      log.write(
          GatewayEvent.BAD_REQUEST, "status", status, "cause", cause.label(), "detail", detail);
    } else {
      suppressed++;
    }
  }

  /** Logs how many lines were left out since the last call; to be called regularly. */
  void startWindow() {
    if (eventLoop.nanoTime() - windowNanos < WINDOW_NANOS) {
      return;
    }
    windowNanos = eventLoop.nanoTime();
    lines = 0;
    if (suppressed > 0) {
      log.write(GatewayEvent.REJECTIONS_SUPPRESSED, "count", suppressed);
      suppressed = 0;
    }
  }
}
