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

/** Engines that report their load in memory and virtual time, as the test sets it. */
public final class TestingLoadReportClient {
  private static final long ONE_WAY_MILLIS = 2;
  private static final long TIMEOUT_MILLIS = 100;

  private final EventLoop eventLoop;
  private final Map<String, LoadReport> reports = new HashMap<>();
  private final Set<String> unresponsive = new HashSet<>();
  private final List<Query> queries = new ArrayList<>();

  /** A query of a node to an engine. */
  public record Query(String node, String engine, long nanos) {}

  public TestingLoadReportClient(EventLoop eventLoop) {
    this.eventLoop = eventLoop;
  }

  /** Sets the report of an engine; an engine without one provides no reports. */
  public void set(String engine, LoadReport report) {
    reports.put(engine, report);
  }

  /** Sets the load of an engine whose report does not contain its start time. */
  public void set(String engine, EngineLoad load) {
    set(engine, new LoadReport(load, 0));
  }

  /** Returns the load that an engine would report now. */
  public EngineLoad loadOf(String engine) {
    return reports.get(engine).load();
  }

  /** Stops all responses of an engine. */
  public void silence(String engine) {
    unresponsive.add(engine);
  }

  /** Returns all queries so far. */
  public List<Query> queries() {
    return queries;
  }

  /** Returns the load reports as a node queries them. */
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
