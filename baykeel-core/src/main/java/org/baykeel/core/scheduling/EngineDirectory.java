package org.baykeel.core.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.baykeel.core.configuration.ConfigurationImage;
import org.baykeel.core.configuration.Declarations.BackendState;
import org.baykeel.core.configuration.Declarations.Engine;
import org.baykeel.core.message.EngineReport;

/**
 * What this node knows of the engines: their declarations, the watchers' reports, its own running
 * calls, and which of them has lately refused or failed.
 */
public final class EngineDirectory {
  private static final long AVOIDANCE_MILLIS = 2_000;
  private static final long REPORT_LIFETIME_MILLIS = 15_000;

  private final Map<String, EngineState> engines = new TreeMap<>();
  private final Map<String, String> formerAddresses = new HashMap<>();

  /** One engine's state as this node knows it. */
  private static final class EngineState {
    Engine declaration;
    EngineReport report;
    int ownRunning;
    int startedSinceReport;
    long avoidUntilMillis;

    EngineState(Engine declaration) {
      this.declaration = declaration;
    }
  }

  /** Takes over the engines of a configuration. */
  public void configure(ConfigurationImage configuration) {
    for (EngineState state : engines.values()) {
      formerAddresses.put(state.declaration.name(), state.declaration.address());
    }
    engines.keySet().removeIf(name -> configuration.engine(name) == null);
    for (Engine engine : configuration.declarations().engines()) {
      EngineState state = engines.computeIfAbsent(engine.name(), n -> new EngineState(engine));
      state.declaration = engine;
    }
  }

  /** Takes in a watcher's report if it is newer than the one held. */
  public boolean onReport(EngineReport report) {
    EngineState state = engines.get(report.engine());
    boolean newer =
        state != null
            && (state.report == null
                || report.observedAtMillis() > state.report.observedAtMillis());
    if (newer) {
      state.report = report;
      state.startedSinceReport = 0;
    }
    return newer;
  }

  /** The latest report about an engine, or null. */
  public EngineReport report(String engine) {
    EngineState state = engines.get(engine);
    return state == null ? null : state.report;
  }

  /** Notes that this node has sent an engine a call. */
  public void attemptStarted(String engine) {
    EngineState state = engines.get(engine);
    if (state != null) {
      state.ownRunning++;
      state.startedSinceReport++;
    }
  }

  /** Notes that a call of this node has ended at an engine. */
  public void attemptEnded(String engine) {
    EngineState state = engines.get(engine);
    if (state != null && state.ownRunning > 0) {
      state.ownRunning--;
    }
  }

  /** Avoids an engine for a short time after it refused or failed a call. */
  public void avoid(String engine, long nowMillis) {
    EngineState state = engines.get(engine);
    if (state != null) {
      state.avoidUntilMillis = nowMillis + AVOIDANCE_MILLIS;
    }
  }

  /** IP:PORT of an engine, also of one that is no longer declared; null if never known. */
  public String address(String engine) {
    EngineState state = engines.get(engine);
    return state == null ? formerAddresses.get(engine) : state.declaration.address();
  }

  /** True if an engine that serves the model is declared and not draining. */
  public boolean isServed(String model) {
    for (EngineState state : engines.values()) {
      Engine engine = state.declaration;
      if (engine.state() == BackendState.SERVING && engine.models().contains(model)) {
        return true;
      }
    }
    return false;
  }

  /**
   * The engines that take a call of the model now.
   *
   * @param cachedOn the engine believed to hold the program's prefix, or empty
   * @param cachedTokens length of that prefix in tokens
   */
  public List<EngineView> candidates(
      String model, String cachedOn, int cachedTokens, long nowMillis) {
    List<EngineView> views = new ArrayList<>();
    for (EngineState state : engines.values()) {
      if (takesWork(state, model, nowMillis)) {
        boolean holdsPrefix = state.declaration.name().equals(cachedOn);
        views.add(
            new EngineView(
                state.declaration, load(state, nowMillis), holdsPrefix ? cachedTokens : 0));
      }
    }
    return views;
  }

  private static boolean takesWork(EngineState state, String model, long nowMillis) {
    Engine engine = state.declaration;
    boolean reportedAway =
        state.report != null && state.report.status() != EngineReport.Status.SERVING;
    return engine.state() == BackendState.SERVING
        && engine.models().contains(model)
        && !reportedAway
        && nowMillis >= state.avoidUntilMillis;
  }

  /**
   * The larger of what this node runs there itself and what the report, brought up to date, says.
   */
  private static int load(EngineState state, long nowMillis) {
    EngineReport report = state.report;
    boolean fresh =
        report != null && nowMillis - report.observedAtMillis() <= REPORT_LIFETIME_MILLIS;
    if (!fresh) {
      return state.ownRunning;
    }
    return Math.max(
        state.ownRunning, report.running() + report.waiting() + state.startedSinceReport);
  }
}
