package org.baykeel.gateway.scheduling;

import java.util.LinkedHashMap;
import java.util.Map;
import org.baykeel.gateway.directory.Engine;
import org.baykeel.gateway.directory.PromptPart;
import org.baykeel.gateway.directory.ServicePerformance;
import org.baykeel.gateway.telemetry.GatewayEvent;
import org.baykeel.gateway.telemetry.GatewayLog;

/**
 * Takes the programs of a slow engine to their next home, and back.
 *
 * <p>A home is left when its pace is slow and what the usual rest of a program would save elsewhere
 * exceeds reading the prompt again. It is a home again when its pace is nearly the usual one, but
 * not before the time of a program has passed; between the two bounds nothing changes. Engines
 * whose load is not known are neither left nor returned to.
 */
public final class SlowHomePolicy implements EnginePolicy {
  /** A home may be left from this multiple of the usual time between events. */
  private static final double LEAVE_FACTOR = 1.6;

  /** It is returned to below this one. */
  private static final double RETURN_FACTOR = 1.25;

  /** The turns that a program usually has before it. */
  private static final double REMAINING_TURNS = 4;

  /** About the time of a program: programs that moved are not moved back within it. */
  private static final long MIN_AWAY_NANOS = 4_000_000_000L;

  private static final long LOG_INTERVAL_NANOS = 1_000_000_000L;

  /** More engines than are slow at a time; those that were left first are forgotten first. */
  private static final int MAX_ENGINES = 4_096;

  private final GatewayLog log;
  private final Map<String, LeftHome> homes =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, LeftHome> eldest) {
          return size() > MAX_ENGINES;
        }
      };

  /** An engine that was left at least once. */
  private static final class LeftHome {
    private boolean left;
    private long leftNanos;
    private long loggedNanos;
    private boolean logged;
  }

  /** Creates a policy by which no engine is left yet. */
  public SlowHomePolicy(GatewayLog log) {
    this.log = log;
  }

  @Override
  public boolean allows(Engine engine, EngineSelector.Criteria criteria, long nowNanos) {
    return true;
  }

  @Override
  public boolean allowsHome(Engine engine, EngineSelector.Criteria criteria, long nowNanos) {
    if (criteria.prompt().isEmpty() || !engine.load().known(nowNanos)) {
      return true;
    }
    LeftHome home = homes.isEmpty() ? null : homes.get(engine.record().id());
    if (home != null && home.left) {
      return returnIfRecovered(engine, home, nowNanos);
    }
    if (!leavingSavesTime(engine, criteria, nowNanos)) {
      return true;
    }
    LeftHome leaving = homes.computeIfAbsent(engine.record().id(), id -> new LeftHome());
    leaving.left = true;
    leaving.leftNanos = nowNanos;
    logOnceASecond(GatewayEvent.ENGINE_LEFT, engine, leaving, nowNanos);
    return false;
  }

  private boolean returnIfRecovered(Engine engine, LeftHome home, long nowNanos) {
    boolean slow = slowdown(engine, nowNanos) >= RETURN_FACTOR;
    if (slow || nowNanos - home.leftNanos < MIN_AWAY_NANOS) {
      return false;
    }
    home.left = false;
    logOnceASecond(GatewayEvent.ENGINE_RETURNED, engine, home, nowNanos);
    return true;
  }

  private static boolean leavingSavesTime(
      Engine engine, EngineSelector.Criteria criteria, long nowNanos) {
    if (slowdown(engine, nowNanos) < LEAVE_FACTOR) {
      return false;
    }
    ServicePerformance performance = engine.performance();
    double savedMillis = streamMillis(engine, nowNanos) - performance.streamMillis();
    int tokens = PromptPart.totalTokens(criteria.prompt());
    return savedMillis * REMAINING_TURNS > performance.prefillMillis(tokens);
  }

  /** The time between two events of its next stream, as a multiple of the usual one. */
  private static double slowdown(Engine engine, long nowNanos) {
    return engine.interEventMillis(nowNanos) / engine.performance().interEventMillis();
  }

  private static double streamMillis(Engine engine, long nowNanos) {
    return engine.interEventMillis(nowNanos) * engine.performance().eventsPerStream();
  }

  private void logOnceASecond(GatewayEvent event, Engine engine, LeftHome home, long nowNanos) {
    if (home.logged && nowNanos - home.loggedNanos < LOG_INTERVAL_NANOS) {
      return;
    }
    home.logged = true;
    home.loggedNanos = nowNanos;
    log.write(
        event,
        "engine",
        engine.record().id(),
        "here_ms",
        Math.round(streamMillis(engine, nowNanos)),
        "there_ms",
        Math.round(engine.performance().streamMillis()),
        "view_age_ms",
        engine.load().ageNanos(nowNanos) / 1_000_000);
  }
}
