package org.baykeel.gateway.testing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.baykeel.gateway.directory.Engine;
import org.baykeel.gateway.directory.EngineLoad;
import org.baykeel.gateway.load.LoadQueryResult;
import org.baykeel.gateway.load.LoadReport;
import org.baykeel.gateway.load.LoadReportClient;
import org.baykeel.gateway.runtime.EventLoop;

/** Engines that tell their load in memory and virtual time, as the test sets it. */
public final class TestingLoadReportClient {
  private static final long ONE_WAY_MILLIS = 2;
  private static final long TIMEOUT_MILLIS = 100;

  private final EventLoop eventLoop;
  private final Map<String, LoadReport> reports = new HashMap<>();
  private final Set<String> unresponsive = new HashSet<>();
  private final List<Query> queries = new ArrayList<>();

  /** A node asked an engine. */
  public record Query(String node, String engine, long nanos) {}

  public TestingLoadReportClient(EventLoop eventLoop) {
    this.eventLoop = eventLoop;
  }

  /** Sets what an engine tells; one that was never set has no reports. */
  public void set(String engine, LoadReport report) {
    reports.put(engine, report);
  }

  /** Sets the load of an engine that does not say when it was born. */
  public void set(String engine, EngineLoad load) {
    set(engine, new LoadReport(load, 0));
  }

  /** What an engine would tell now. */
  public EngineLoad loadOf(String engine) {
    return reports.get(engine).load();
  }

  /** Lets an engine answer nobody. */
  public void silence(String engine) {
    unresponsive.add(engine);
  }

  /** All questions so far. */
  public List<Query> queries() {
    return queries;
  }

  /** The questions of a node. */
  public LoadReportClient of(String node) {
    return (engine, answer) -> query(node, engine, answer);
  }

  private void query(String node, Engine engine, Consumer<LoadQueryResult> answer) {
    String id = engine.record().id();
    long queriedNanos = eventLoop.nanoTime();
    queries.add(new Query(node, id, queriedNanos));
    if (unresponsive.contains(id)) {
      eventLoop.schedule(
          TIMEOUT_MILLIS, () -> answer.accept(new LoadQueryResult.NoResponse("time-out")));
      return;
    }
    eventLoop.schedule(
        ONE_WAY_MILLIS,
        () -> {
          LoadReport report = reports.get(id);
          LoadQueryResult response =
              report == null
                  ? new LoadQueryResult.Unavailable("status 404")
                  : new LoadQueryResult.Reported(report, queriedNanos);
          eventLoop.schedule(ONE_WAY_MILLIS, () -> answer.accept(response));
        });
  }
}
