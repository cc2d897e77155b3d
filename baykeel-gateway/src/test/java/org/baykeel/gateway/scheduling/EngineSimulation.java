package org.baykeel.gateway.scheduling;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import org.baykeel.gateway.directory.Engine;
import org.baykeel.gateway.directory.EngineDirectory;
import org.baykeel.gateway.directory.EngineLoad;
import org.baykeel.gateway.directory.EngineRecord;
import org.baykeel.gateway.scheduling.EngineSelector.Criteria;
import org.baykeel.gateway.topology.RoundTrips;
import org.baykeel.gateway.topology.Topology;

/**
 * Engines with slots and queues in virtual time, and nodes that select among them by their own
 * observations and by load reports that reach all nodes late.
 */
final class EngineSimulation {
  static final long STEP_MILLIS = 5;
  private static final long REPORT_MILLIS = 200;
  private static final long LAG_MILLIS = 200;
  private static final int EVENTS = 10;

  private final int slots;
  private final double workMillis;
  private final boolean loadReported;
  private final List<SimulatedEngine> engines = new ArrayList<>();
  private final List<EngineDirectory> directories = new ArrayList<>();
  private final List<EngineSelector> selectors = new ArrayList<>();
  private final Deque<Report> reports = new ArrayDeque<>();
  private final Random random = new Random(11);
  private long nowMillis = 1_000;

  /** One engine with its running and waiting requests. */
  static final class SimulatedEngine {
    private final String id;
    private final List<Request> running = new ArrayList<>();
    private final Deque<Request> waiting = new ArrayDeque<>();
    private double slowness = 1;

    private SimulatedEngine(String id) {
      this.id = id;
    }

    int requests() {
      return running.size() + waiting.size();
    }

    void slowness(double factor) {
      slowness = factor;
    }
  }

  /** One request, with the engine it was sent to and its remaining work. */
  static final class Request {
    private final Engine engine;
    private final long sentMillis;
    private double remainingMillis;
    private long lastEventMillis;
    private int events;
    private long endedMillis = -1;

    private Request(Engine engine, long sentMillis, double remainingMillis) {
      this.engine = engine;
      this.sentMillis = sentMillis;
      this.remainingMillis = remainingMillis;
    }

    String engineId() {
      return engine.record().id();
    }

    long sentMillis() {
      return sentMillis;
    }

    /** Returns the time until the request ended; {@link Long#MAX_VALUE} if it did not. */
    long tookMillis() {
      return endedMillis < 0 ? Long.MAX_VALUE : endedMillis - sentMillis;
    }
  }

  private record Report(long asOfMillis, List<EngineLoad> loads) {}

  EngineSimulation(int nodes, int count, int slots, double workMillis, boolean viewShared) {
    this.slots = slots;
    this.workMillis = workMillis;
    this.loadReported = viewShared;
    for (int i = 0; i < count; i++) {
      engines.add(new SimulatedEngine("e" + i));
    }
    for (int node = 0; node < nodes; node++) {
      EngineDirectory directory = new EngineDirectory(1);
      for (SimulatedEngine engine : engines) {
        directory.put(new EngineRecord(engine.id, "s", "10.0.0.1", 80, "z", slots, false));
      }
      for (int i = 0; i < 200; i++) {
        directory.performanceOf("s").observeInterEventTime(workMillis / EVENTS);
        directory.performanceOf("s").observeEvents(EVENTS);
        directory.performanceOf("s").observeNonStream(workMillis);
      }
      directories.add(directory);
      selectors.add(selector(directory, node));
    }
  }

  private static EngineSelector selector(EngineDirectory directory, int node) {
    Topology topology = Topology.ofOneRegion("z");
    return new EngineSelector(
        directory,
        topology,
        new RoundTrips(topology),
        List.of(new SlowHomePolicy((event, fields) -> {})),
        new SplittableRandom(node));
  }

  SimulatedEngine engine(int index) {
    return engines.get(index);
  }

  /** Adds requests to an engine that no node has sent or observed. */
  void addUnreportedLoad(int index, int requests) {
    Engine engine = directories.get(0).ofService("s").get(index);
    for (int i = 0; i < requests; i++) {
      double remainingMillis = workMillis * random.nextDouble();
      engines.get(index).waiting.add(new Request(engine, nowMillis, remainingMillis));
    }
  }

  /** Sends a request from a random node. */
  Request send(Criteria criteria) {
    int node = random.nextInt(selectors.size());
    long now = nowMillis * 1_000_000;
    Engine chosen = selectors.get(node).choose(criteria, Set.of(), now).engine();
    chosen.requestStarted(now);
    Request request = new Request(chosen, nowMillis, workMillis);
    engines.get(directories.get(node).ofService("s").indexOf(chosen)).waiting.add(request);
    return request;
  }

  /** Advances the virtual time by one step. */
  void step(boolean streams) {
    nowMillis += STEP_MILLIS;
    for (SimulatedEngine engine : engines) {
      advance(engine, streams);
    }
    if (loadReported) {
      report();
    }
  }

  private void advance(SimulatedEngine engine, boolean streams) {
    for (Iterator<Request> each = engine.running.iterator(); each.hasNext(); ) {
      Request request = each.next();
      request.remainingMillis -= STEP_MILLIS / engine.slowness;
      if (streams) {
        observeEvents(request);
      }
      if (request.remainingMillis <= 0) {
        each.remove();
        request.endedMillis = nowMillis;
        request.engine.requestEnded(request.sentMillis * 1_000_000);
      }
    }
    while (engine.running.size() < slots && !engine.waiting.isEmpty()) {
      Request request = engine.waiting.remove();
      request.lastEventMillis = nowMillis;
      engine.running.add(request);
      if (streams) {
        request.engine.observeWait(nowMillis - request.sentMillis, nowMillis * 1_000_000);
      }
    }
  }

  private void observeEvents(Request request) {
    int events = (int) ((workMillis - Math.max(0, request.remainingMillis)) * EVENTS / workMillis);
    if (events > request.events) {
      request.engine.observeInterEventTime(
          (nowMillis - request.lastEventMillis) / (double) (events - request.events));
      request.events = events;
      request.lastEventMillis = nowMillis;
    }
  }

  private void report() {
    if (nowMillis % REPORT_MILLIS == 0) {
      reports.add(
          new Report(
              nowMillis,
              engines.stream()
                  .map(engine -> new EngineLoad(engine.waiting.size(), engine.running.size(), 0, 0))
                  .toList()));
    }
    while (!reports.isEmpty() && nowMillis - reports.peek().asOfMillis >= LAG_MILLIS) {
      Report report = reports.remove();
      for (EngineDirectory directory : directories) {
        List<Engine> known = directory.ofService("s");
        for (int i = 0; i < known.size(); i++) {
          known.get(i).load().reported(report.loads.get(i), report.asOfMillis * 1_000_000);
        }
      }
    }
  }
}
