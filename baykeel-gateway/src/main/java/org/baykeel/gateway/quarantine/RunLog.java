package org.baykeel.gateway.quarantine;

import java.util.Locale;
import org.baykeel.gateway.peer.PeerAddress;
import org.baykeel.gateway.runtime.EventLoop;
import org.baykeel.gateway.telemetry.GatewayEvent;
import org.baykeel.gateway.telemetry.GatewayLog;

/** Writes one line when a run becomes unresolved, and one when it no longer counts. */
final class RunLog {
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final EventLoop eventLoop;
  private final GatewayLog log;

  /** After what a run is unresolved. */
  enum Doubt {
    /** Its attempt ended: a deadline, a silence, a caller that left. */
    ATTEMPT,
    /** Its connection was lost. */
    CONNECTION_LOST,
    /** The node that began it does not respond any more. */
    NODE_LOST
  }

  /** Why a run counts no longer. */
  enum Resolution {
    /** The engine responded to another request. */
    RESPONSE,
    /** The engine answered the question which engine responds. */
    ANSWER,
    /** The engine ended: the run is evidence from now on. */
    END,
    /** The engine left by plan. */
    PLAN,
    /** The node that began it, and seemed to be lost, has closed it. */
    HOLDER,
    /** Nothing was found out in time. */
    EXPIRY
  }

  RunLog(EventLoop eventLoop, GatewayLog log) {
    this.eventLoop = eventLoop;
    this.log = log;
  }

  void unresolved(TrackedRun run, Doubt doubt) {
    log.write(
        GatewayEvent.RUN_UNRESOLVED,
        "engine",
        run.engine().record().id(),
        "work",
        run.request(),
        "after",
        text(doubt),
        "provable_ms",
        (run.provableNanos() - eventLoop.nanoTime()) / NANOS_PER_MILLI);
  }

  void orphaned(PeerRun run, PeerAddress holder) {
    log.write(
        GatewayEvent.RUN_ORPHANED,
        "engine",
        run.engine().id().value(),
        "work",
        run.request(),
        "node",
        holder,
        "ms",
        (eventLoop.nanoTime() - run.startedNanos()) / NANOS_PER_MILLI);
  }

  void resolved(TrackedRun run, Resolution resolution) {
    log.write(
        GatewayEvent.RUN_RESOLVED,
        "engine",
        run.engine().record().id(),
        "work",
        run.request(),
        "by",
        text(resolution),
        "ms",
        (eventLoop.nanoTime() - run.startedNanos()) / NANOS_PER_MILLI);
  }

  void vanished(TrackedRun run, EngineLiveness liveness) {
    log.write(
        GatewayEvent.ENGINE_VANISHED,
        "engine",
        run.engine().record().id(),
        "state",
        text(liveness),
        "work",
        run.request());
  }

  private static String text(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT);
  }
}
