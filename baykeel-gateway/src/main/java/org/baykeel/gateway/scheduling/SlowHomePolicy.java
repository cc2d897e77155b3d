package org.baykeel.gateway.scheduling;

import java.util.LinkedHashMap;
import java.util.Map;
import org.baykeel.gateway.directory.Engine;
import org.baykeel.gateway.directory.PromptPart;
import org.baykeel.gateway.directory.ServicePerformance;
import org.baykeel.gateway.telemetry.GatewayEvent;
import org.baykeel.gateway.telemetry.GatewayLog;

/**
 * Moves the programs of a slow engine to their next home engine, and back.
 *
 * <p>An engine stops being a home once it is slow and the remaining turns of a usual program would
 * save more time elsewhere than the prefill of the prompt costs. It becomes a home again when its
 * inter-event time is nearly the usual one and at least the usual duration of a program has passed;
 * between the two thresholds nothing changes. While the load of an engine is not known, the engine
 * may be a home and its state does not change.
 */
public final class SlowHomePolicy implements EnginePolicy {
  /** Programs may leave an engine from this multiple of the usual inter-event time. */
  private static final double LEAVE_FACTOR = 1.6;

  /** Programs may return to an engine below this multiple of the usual inter-event time. */
  private static final double RETURN_FACTOR = 1.25;

  /** Turns that a program usually still has to run. */
  private static final double REMAINING_TURNS = 4;

  /** About the duration of a program: programs that moved are not moved back within it. */
  private static final long MIN_AWAY_NANOS = 4_000_000_000L;

  private static final long LOG_INTERVAL_NANOS = 1_000_000_000L;

  /**
   * Limits the engines whose state is retained; more than are slow at the same time. When it is
   * exceeded, the engine that was added first is evicted.
   */
  private static final int MAX_ENGINES = 4_096;

  private final GatewayLog log;
  private final Map<String, HomeState> homes =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, HomeState> eldest) {
          return size() > MAX_ENGINES;
        }
      };

  /** The state of an engine that programs have left at least once. */
  private static final class HomeState {
    private boolean avoided;
    private long avoidedSinceNanos;
    private long loggedNanos;
    private boolean logged;
  }

  /** Creates a policy in which every engine may be a home. */
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
    HomeState home = homes.isEmpty() ? null : homes.get(engine.record().id());
    if (home != null && home.avoided) {
      return returnIfRecovered(engine, home, nowNanos);
    }
    if (!leavingSavesTime(engine, criteria, nowNanos)) {
      return true;
    }
    HomeState leaving = homes.computeIfAbsent(engine.record().id(), id -> new HomeState());
    leaving.avoided = true;
    leaving.avoidedSinceNanos = nowNanos;
    logOnceASecond(GatewayEvent.ENGINE_LEFT, engine, leaving, nowNanos);
    return false;
  }

  private boolean returnIfRecovered(Engine engine, HomeState home, long nowNanos) {
    boolean slow = slowdown(engine, nowNanos) >= RETURN_FACTOR;
    if (slow || nowNanos - home.avoidedSinceNanos < MIN_AWAY_NANOS) {
      return false;
    }
    home.avoided = false;
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

  /**
   * Returns the expected inter-event time of the engine's next stream, as a multiple of the usual
   * one.
   */
  private static double slowdown(Engine engine, long nowNanos) {
    return engine.interEventMillis(nowNanos) / engine.performance().interEventMillis();
  }

  private static double streamMillis(Engine engine, long nowNanos) {
    return engine.interEventMillis(nowNanos) * engine.performance().eventsPerStream();
  }

  private void logOnceASecond(GatewayEvent event, Engine engine, HomeState home, long nowNanos) {
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
