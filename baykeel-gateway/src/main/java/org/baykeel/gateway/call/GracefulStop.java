package org.baykeel.gateway.call;

import org.baykeel.gateway.runtime.EventLoop;
import org.baykeel.gateway.telemetry.GatewayEvent;
import org.baykeel.gateway.telemetry.GatewayLog;

/**
 * A planned stop: the node stops being ready at once, but serves on until the load balancer has
 * noticed; then it accepts no new connections, and ends once no request is in progress or the grace
 * period is nearly over.
 */
public final class GracefulStop {
  /**
   * The load balancer notices after two failed readiness probes, one second apart; the rest is a
   * margin.
   */
  private static final long NOT_READY_NOTICE_MILLIS = 2_600;

  private static final long POLL_MILLIS = 50;
  private static final long END_MARGIN_MILLIS = 500;

  /** The connections of a node's callers. */
  public interface CallerConnections {
    /** The number of requests in progress. */
    int activeCalls();

    /**
     * Accepts no more connections and closes those that are idle between two requests, now and
     * whenever one becomes idle later.
     */
    void closeIdle();

    /**
     * Logs the requests in progress, which the end of the process cuts off.
     *
     * @param stopNanos when the stop began, by the event loop's clock
     */
    void logCalls(long stopNanos);
  }

  private final EventLoop eventLoop;
  private final GatewayState state;
  private final CallerConnections callers;
  private final GatewayLog log;
  private final long graceMillis;
  private final Runnable end;
  private long startedNanos;

  /**
   * Creates a stop that has not started.
   *
   * @param graceMillis the time from the signal until the process is killed, in milliseconds
   * @param end ends the process
   */
  public GracefulStop(
      EventLoop eventLoop,
      GatewayState state,
      CallerConnections callers,
      GatewayLog log,
      long graceMillis,
      Runnable end) {
    this.eventLoop = eventLoop;
    this.state = state;
    this.callers = callers;
    this.log = log;
    this.graceMillis = graceMillis;
    this.end = end;
  }

  /** Starts the stop; does nothing if one is in progress. */
  public void begin() {
    if (state.stopping()) {
      return;
    }
    startedNanos = eventLoop.nanoTime();
    state.stop();
    log.write(GatewayEvent.GATEWAY_STOPPING, "active", callers.activeCalls());
    eventLoop.schedule(Math.min(NOT_READY_NOTICE_MILLIS, graceMillis / 2), this::closeIdle);
  }

  private void closeIdle() {
    callers.closeIdle();
    endWhenDone();
  }

  private void endWhenDone() {
    long elapsedMillis = (eventLoop.nanoTime() - startedNanos) / 1_000_000;
    int active = callers.activeCalls();
    if (active > 0 && elapsedMillis <= graceMillis - END_MARGIN_MILLIS) {
      eventLoop.schedule(POLL_MILLIS, this::endWhenDone);
      return;
    }
    callers.logCalls(startedNanos);
    log.write(GatewayEvent.GATEWAY_STOPPED, "active", active, "ms", elapsedMillis);
    end.run();
  }
}
