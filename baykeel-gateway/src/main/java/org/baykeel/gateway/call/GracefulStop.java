package org.baykeel.gateway.call;

import org.baykeel.gateway.runtime.EventLoop;
import org.baykeel.gateway.telemetry.GatewayEvent;
import org.baykeel.gateway.telemetry.GatewayLog;

/**
 * A planned stop: the node stops being ready at once, but serves on until the load balancer has
 * noticed; then it accepts no new connections, and ends once no request is in progress or the grace
 * period is nearly over. Requests that are in progress then are answered before the process ends.
 */
public final class GracefulStop {
  private static final long POLL_MILLIS = 50;

  /** The time for the last responses to be sent before the process ends. */
  private static final long LAST_RESPONSES_MILLIS = 20;

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
     * Ends the requests in progress, each with a response unless it has begun, and logs them.
     *
     * @param stopNanos when the stop began, by the event loop's clock
     */
    void endCalls(long stopNanos);
  }

  private final EventLoop eventLoop;
  private final GatewayState state;
  private final CallerConnections callers;
  private final GatewayLog log;
  private final long graceMillis;
  private final Runnable end;
  private StopSchedule schedule;

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
    schedule = StopSchedule.of(eventLoop.nanoTime(), graceMillis);
    state.stop(schedule);
    log.write(GatewayEvent.GATEWAY_STOPPING, "active", callers.activeCalls());
    eventLoop.schedule(schedule.closeDelayMillis(), this::closeIdle);
  }

  private void closeIdle() {
    callers.closeIdle();
    endWhenDone();
  }

  private void endWhenDone() {
    long now = eventLoop.nanoTime();
    int active = callers.activeCalls();
    if (active > 0 && now - schedule.endNanos() <= 0) {
      eventLoop.schedule(POLL_MILLIS, this::endWhenDone);
      return;
    }
    log.write(GatewayEvent.GATEWAY_STOPPED, "active", active, "ms", schedule.elapsedMillis(now));
    if (active == 0) {
      end.run();
      return;
    }
    callers.endCalls(schedule.beginNanos());
    eventLoop.schedule(LAST_RESPONSES_MILLIS, end);
  }
}
