package org.baykeel.gateway.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.baykeel.gateway.directory.Engine;
import org.baykeel.gateway.directory.EngineDirectory;
import org.baykeel.gateway.directory.EngineLoad;
import org.baykeel.gateway.directory.EngineRecord;
import org.baykeel.gateway.fairness.AdmissionShares;
import org.baykeel.gateway.tenancy.Caller;
import org.baykeel.gateway.tenancy.LimitUse;
import org.baykeel.gateway.testing.TestingEventLoop;

/**
 * Simulates programs at one service in virtual time, through many nodes of which each decides on
 * its own. A turn takes a slot of an engine or waits for one, and takes longer the more turns run
 * beside it. Callers drop turns that wait too long, and retry once if their program is refused.
 */
final class ServiceSimulation {
  static final int ENGINES = 9;
  private static final int SLOTS = 8;
  private static final int NODES = 77;
  private static final int EVENTS = 10;
  private static final double FIRST_MILLIS = 15;
  private static final double IDLE_INTER_EVENT_MILLIS = 6;
  private static final double INTER_EVENT_MILLIS_PER_RUNNING = 0.75;
  private static final long REPORT_INTERVAL_MILLIS = 100;
  private static final long REPORT_LAG_MILLIS = 300;
  private static final long PAUSE_MILLIS = 400;
  private static final long DEADLINE_MILLIS = 4_000;
  private static final long RESPONSE_TARGET_MILLIS = 250;
  private static final double SAME_NODE_PROBABILITY = 0.5;

  final TestingEventLoop eventLoop = new TestingEventLoop();
  final List<Program> programs = new ArrayList<>();
  private final Random random;
  private final boolean admitsAll;
  private final List<EngineState> engines = new ArrayList<>();
  private final List<Node> nodes = new ArrayList<>();
  private int remainingEngines = ENGINES;
  private boolean reportsLost;

  ServiceSimulation(long seed, boolean admitsAll) {
    this.random = new Random(seed);
    this.admitsAll = admitsAll;
    for (int i = 0; i < ENGINES; i++) {
      engines.add(new EngineState());
    }
    restartNodes();
    reportLoad();
  }

  /** The actual state of an engine. */
  private static final class EngineState {
    final ArrayDeque<Turn> waiting = new ArrayDeque<>();
    int running;
  }

  /** One node: its view of the engines, and its admission. */
  private final class Node {
    final EngineDirectory directory = new EngineDirectory(1);
    final ProgramAdmission admission =
        new ProgramAdmission(
            directory, new Random(random.nextLong()), AdmissionShares.EVEN, (event, fields) -> {});

    Node() {
      for (int i = 0; i < remainingEngines; i++) {
        directory.put(new EngineRecord("e" + i, "s", "10.0.0." + i, 80, "z", SLOTS, false));
      }
    }
  }

  /**
   * A program from its first request on; times in milliseconds, 0 for events that did not happen.
   */
  final class Program {
    final int turns = 3 + random.nextInt(6);
    final long requestedMillis = millis();
    final long finishTargetMillis;
    final String route;
    private final int rank;
    private int node = random.nextInt(NODES);
    private int turn;
    private boolean retried;
    long startedMillis;
    long finishedMillis;
    boolean refused;

    Program(String route, int rank) {
      this.route = route;
      this.rank = rank;
      double idleTurn = FIRST_MILLIS + EVENTS * IDLE_INTER_EVENT_MILLIS;
      this.finishTargetMillis =
          Math.round(
              1.6 * (turns * idleTurn + (turns - 1) * PAUSE_MILLIS) + RESPONSE_TARGET_MILLIS);
    }

    boolean inTime() {
      return finishedMillis > 0 && finishedMillis - startedMillis <= finishTargetMillis;
    }

    private void requestStart() {
      ProgramAdmission admission = nodes.get(node).admission;
      AdmissionRequest request =
          new AdmissionRequest(
              route,
              rank,
              Caller.WITHOUT_KEYS,
              "s",
              RESPONSE_TARGET_MILLIS,
              finishTargetMillis,
              LimitUse.UNKNOWN);
      AdmissionDecision decision = admission.decide(request, "r", "p", eventLoop.nanoTime());
      if (admitsAll || decision.admitted()) {
        startedMillis = millis();
        admission.programStarted(route, finishTargetMillis, eventLoop.nanoTime());
        nextTurn();
      } else if (retried) {
        refused = true;
      } else {
        retried = true;
        node = random.nextInt(NODES);
        eventLoop.schedule(decision.retryMillis(), this::requestStart);
      }
    }

    private void nextTurn() {
      node = random.nextDouble() < SAME_NODE_PROBABILITY ? node : random.nextInt(NODES);
      turn++;
      nodes.get(node).admission.turnStarted(route, toString(), eventLoop.nanoTime());
      new Turn(this, nodes.get(node)).enqueue();
    }

    private void turnEnded(Node servingNode) {
      servingNode.admission.turnEnded(toString(), eventLoop.nanoTime());
      if (turn == turns) {
        finishedMillis = millis();
      } else {
        long pause = Math.round(PAUSE_MILLIS * (0.5 + random.nextDouble()));
        eventLoop.schedule(pause, this::nextTurn);
      }
    }
  }

  /** One turn, sent to the less loaded of two random engines. */
  private final class Turn {
    private final Program program;
    private final Node node;
    private int engineIndex;
    private final long sentNanos = eventLoop.nanoTime();

    Turn(Program program, Node node) {
      this.program = program;
      this.node = node;
    }

    void enqueue() {
      int firstChoice = random.nextInt(remainingEngines);
      int secondChoice = random.nextInt(remainingEngines);
      engineIndex = load(firstChoice) <= load(secondChoice) ? firstChoice : secondChoice;
      node.admission.requestSent("s", sentNanos);
      engines.get(engineIndex).waiting.add(this);
      serve(engines.get(engineIndex));
    }

    void endWait() {
      node.admission.requestWaitEnded("s", sentNanos);
    }

    void start(EngineState state) {
      double interEventMillis =
          IDLE_INTER_EVENT_MILLIS + INTER_EVENT_MILLIS_PER_RUNNING * state.running;
      eventLoop.schedule(Math.round(FIRST_MILLIS), this::observeFirst);
      eventLoop.schedule(
          Math.round(FIRST_MILLIS + EVENTS * interEventMillis), () -> end(state, interEventMillis));
    }

    private void observeFirst() {
      Engine engine = node.directory.ofService("s").get(engineIndex % node.directory.size());
      double first = millis() - sentNanos / 1_000_000;
      double expected = engine.expectedFirstEventMillis(List.of());
      engine.performance().observeFirstEvent(0, first);
      engine.performance().observeNewTokens(0);
      endWait();
      node.admission.observeWait("s", first - expected, eventLoop.nanoTime());
    }

    private void end(EngineState state, double interEventMillis) {
      state.running--;
      Engine engine = node.directory.ofService("s").get(engineIndex % node.directory.size());
      for (int i = 1; i < EVENTS; i++) {
        engine.observeInterEventTime(interEventMillis);
      }
      engine.performance().observeEvents(EVENTS);
      serve(state);
      program.turnEnded(node);
    }
  }

  private int load(int engine) {
    return engines.get(engine).waiting.size() + engines.get(engine).running;
  }

  private void serve(EngineState state) {
    while (state.running < SLOTS && !state.waiting.isEmpty()) {
      Turn turn = state.waiting.poll();
      if (millis() - turn.sentNanos / 1_000_000 < DEADLINE_MILLIS) {
        state.running++;
        turn.start(state);
      } else {
        turn.endWait();
      }
    }
  }

  private void reportLoad() {
    List<EngineLoad> loads = new ArrayList<>();
    for (int i = 0; i < remainingEngines && !reportsLost; i++) {
      loads.add(new EngineLoad(engines.get(i).waiting.size(), engines.get(i).running, 0, 0));
    }
    long asOf = eventLoop.nanoTime();
    eventLoop.schedule(
        REPORT_LAG_MILLIS, () -> nodes.forEach(node -> receiveReport(node, loads, asOf)));
    eventLoop.schedule(REPORT_INTERVAL_MILLIS, this::reportLoad);
  }

  private static void receiveReport(Node node, List<EngineLoad> loads, long asOf) {
    List<Engine> knownEngines = node.directory.ofService("s");
    for (int i = 0; i < Math.min(loads.size(), knownEngines.size()); i++) {
      knownEngines.get(i).load().reported(loads.get(i), asOf);
    }
  }

  /** Restarts all nodes without their observations. */
  void restartNodes() {
    nodes.clear();
    for (int i = 0; i < NODES; i++) {
      nodes.add(new Node());
    }
  }

  /** Stops all further load reports. */
  void loseReports() {
    reportsLost = true;
  }

  /**
   * Removes the last engines: they finish what they run and get nothing new, and requests that wait
   * there are sent elsewhere.
   */
  void loseEngines(int count) {
    List<EngineState> removed = engines.subList(remainingEngines - count, remainingEngines);
    remainingEngines -= count;
    for (Node node : nodes) {
      for (int i = remainingEngines; i < remainingEngines + count; i++) {
        node.directory.remove("e" + i, 0, eventLoop.nanoTime());
      }
    }
    for (EngineState state : removed) {
      List<Turn> requeued = List.copyOf(state.waiting);
      state.waiting.clear();
      requeued.forEach(Turn::endWait);
      requeued.forEach(Turn::enqueue);
    }
  }

  /** Schedules programs that request to start, at random times within a period. */
  void demand(double perSecond, long forMillis) {
    demand("kind", 0, perSecond, forMillis);
  }

  void demand(String route, int rank, double perSecond, long forMillis) {
    for (int i = 0; i < perSecond * forMillis / 1e3; i++) {
      eventLoop.schedule(random.nextInt((int) forMillis), () -> start(route, rank));
    }
  }

  private void start(String route, int rank) {
    Program program = new Program(route, rank);
    programs.add(program);
    program.requestStart();
  }

  long millis() {
    return eventLoop.nanoTime() / 1_000_000;
  }
}
