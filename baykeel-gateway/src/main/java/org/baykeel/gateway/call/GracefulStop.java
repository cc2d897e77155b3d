package org.baykeel.gateway.call;

import org.baykeel.gateway.runtime.EventLoop;
import org.baykeel.gateway.telemetry.GatewayEvent;
import org.baykeel.gateway.telemetry.GatewayLog;

/**
 * A planned stop: not ready at once, serving on until the entry has noticed, then no new
 * connections, and the end once no request is under way or the grace period is nearly over.
 */
public final class GracefulStop {
  /** Two missed questions a second apart, and some slack. */
  private static final long NOT_READY_NOTICE_MILLIS = 2_600;

  private static final long POLL_MILLIS = 50;
  private static final long END_MARGIN_MILLIS = 500;

  /** The callers' connections of a process. */
  public interface CallerConnections {
    /** How many requests are under way. */
    int activeCalls();

    /** Accepts no more connections and closes those that rest between two requests. */
    void closeIdle();
  }

  private final EventLoop eventLoop;
  private final GatewayState state;
  private final CallerConnections callers;
  private final GatewayLog log;
  private final long graceMillis;
  private final Runnable end;
  private long startedNanos;

  /**
   * Creates a stop that has not begun.
   *
   * @param graceMillis the time from the signal after which the process is killed
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

  /** Begins; does nothing if a stop is under way. */
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
    log.write(GatewayEvent.GATEWAY_STOPPED, "active", active, "ms", elapsedMillis);
    end.run();
  }
}
