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
 * Programs that run at a service in virtual time, through many nodes of which each decides on its
 * own. A turn takes a place of an engine, or waits for one, and takes longer the more run beside
 * it; callers leave turns that wait too long and come back once if they are refused.
 */
final class LoadedService {
  static final int ENGINES = 9;
  private static final int PLACES = 8;
  private static final int NODES = 77;
  private static final int EVENTS = 10;
  private static final double FIRST_MILLIS = 15;
  private static final double IDLE_GAP_MILLIS = 6;
  private static final double GAP_MILLIS_PER_RUNNING = 0.75;
  private static final long VIEW_EVERY_MILLIS = 100;
  private static final long VIEW_LAG_MILLIS = 300;
  private static final long PAUSE_MILLIS = 400;
  private static final long DEADLINE_MILLIS = 4_000;
  private static final long TARGET_MILLIS = 250;
  private static final double STAYS_AT_ITS_NODE = 0.5;

  final TestingEventLoop eventLoop = new TestingEventLoop();
  final List<Program> programs = new ArrayList<>();
  private final Random random;
  private final boolean admitsAll;
  private final List<Place> engines = new ArrayList<>();
  private final List<Node> nodes = new ArrayList<>();
  private int enginesLeft = ENGINES;
  private boolean viewGone;

  LoadedService(long seed, boolean admitsAll) {
    this.random = new Random(seed);
    this.admitsAll = admitsAll;
    for (int i = 0; i < ENGINES; i++) {
      engines.add(new Place());
    }
    restartNodes();
    tellLoad();
  }

  /** An engine as it is. */
  private static final class Place {
    final ArrayDeque<Turn> waiting = new ArrayDeque<>();
    int running;
  }

  /** One node: what it believes, and its admission. */
  private final class Node {
    final EngineDirectory directory = new EngineDirectory(1);
    final ProgramAdmission admission =
        new ProgramAdmission(
            directory, new Random(random.nextLong()), AdmissionShares.EVEN, (event, fields) -> {});

    Node() {
      for (int i = 0; i < enginesLeft; i++) {
        directory.put(new EngineRecord("e" + i, "s", "10.0.0." + i, 80, "z", PLACES, false));
      }
    }
  }

  /** A program from its first ask on; times in milliseconds, 0 for what did not happen. */
  final class Program {
    final int turns = 3 + random.nextInt(6);
    final long askedMillis = millis();
    final long aimMillis;
    final String kind;
    private final int rank;
    private int node = random.nextInt(NODES);
    private int turn;
    private boolean askedAgain;
    long begunMillis;
    long endedMillis;
    boolean refused;

    Program(String kind, int rank) {
      this.kind = kind;
      this.rank = rank;
      double idleTurn = FIRST_MILLIS + EVENTS * IDLE_GAP_MILLIS;
      this.aimMillis =
          Math.round(1.6 * (turns * idleTurn + (turns - 1) * PAUSE_MILLIS) + TARGET_MILLIS);
    }

    boolean inAim() {
      return endedMillis > 0 && endedMillis - begunMillis <= aimMillis;
    }

    private void ask() {
      ProgramAdmission admission = nodes.get(node).admission;
      AdmissionRequest opening =
          new AdmissionRequest(
              kind, rank, Caller.WITHOUT_KEYS, "s", TARGET_MILLIS, aimMillis, LimitUse.UNKNOWN);
      AdmissionDecision judgement = admission.decide(opening, "r", "p", eventLoop.nanoTime());
      if (admitsAll || judgement.admitted()) {
        begunMillis = millis();
        admission.programOpened(kind, aimMillis, eventLoop.nanoTime());
        nextTurn();
      } else if (askedAgain) {
        refused = true;
      } else {
        askedAgain = true;
        node = random.nextInt(NODES);
        eventLoop.schedule(judgement.retryMillis(), this::ask);
      }
    }

    private void nextTurn() {
      node = random.nextDouble() < STAYS_AT_ITS_NODE ? node : random.nextInt(NODES);
      turn++;
      nodes.get(node).admission.turnBegan(kind, toString(), eventLoop.nanoTime());
      new Turn(this, nodes.get(node)).join();
    }

    private void turnEnded(Node at) {
      at.admission.turnEnded(toString(), eventLoop.nanoTime());
      if (turn == turns) {
        endedMillis = millis();
      } else {
        long pause = Math.round(PAUSE_MILLIS * (0.5 + random.nextDouble()));
        eventLoop.schedule(pause, this::nextTurn);
      }
    }
  }

  /** One turn at the less busy of two engines. */
  private final class Turn {
    private final Program program;
    private final Node node;
    private int at;
    private final long sentNanos = eventLoop.nanoTime();

    Turn(Program program, Node node) {
      this.program = program;
      this.node = node;
    }

    void join() {
      int one = random.nextInt(enginesLeft);
      int other = random.nextInt(enginesLeft);
      at = load(one) <= load(other) ? one : other;
      node.admission.requestSent("s", sentNanos);
      engines.get(at).waiting.add(this);
      serve(engines.get(at));
    }

    void leave() {
      node.admission.requestAnswered("s", sentNanos);
    }

    void begin(Place place) {
      double gap = IDLE_GAP_MILLIS + GAP_MILLIS_PER_RUNNING * place.running;
      eventLoop.schedule(Math.round(FIRST_MILLIS), this::observeFirst);
      eventLoop.schedule(Math.round(FIRST_MILLIS + EVENTS * gap), () -> end(place, gap));
    }

    private void observeFirst() {
      Engine engine = node.directory.ofService("s").get(at % node.directory.size());
      double first = millis() - sentNanos / 1_000_000;
      double expected = engine.expectedFirstEventMillis(List.of());
      engine.performance().observeFirstEvent(0, first);
      engine.performance().observeNewTokens(0);
      leave();
      node.admission.observeWait("s", first - expected, eventLoop.nanoTime());
    }

    private void end(Place place, double gap) {
      place.running--;
      Engine engine = node.directory.ofService("s").get(at % node.directory.size());
      for (int i = 1; i < EVENTS; i++) {
        engine.observeInterEventTime(gap);
      }
      engine.performance().observeEvents(EVENTS);
      serve(place);
      program.turnEnded(node);
    }
  }

  private int load(int engine) {
    return engines.get(engine).waiting.size() + engines.get(engine).running;
  }

  private void serve(Place place) {
    while (place.running < PLACES && !place.waiting.isEmpty()) {
      Turn turn = place.waiting.poll();
      if (millis() - turn.sentNanos / 1_000_000 < DEADLINE_MILLIS) {
        place.running++;
        turn.begin(place);
      } else {
        turn.leave();
      }
    }
  }

  private void tellLoad() {
    List<EngineLoad> loads = new ArrayList<>();
    for (int i = 0; i < enginesLeft && !viewGone; i++) {
      loads.add(new EngineLoad(engines.get(i).waiting.size(), engines.get(i).running, 0, 0));
    }
    long asOf = eventLoop.nanoTime();
    eventLoop.schedule(VIEW_LAG_MILLIS, () -> nodes.forEach(node -> hear(node, loads, asOf)));
    eventLoop.schedule(VIEW_EVERY_MILLIS, this::tellLoad);
  }

  private static void hear(Node node, List<EngineLoad> loads, long asOf) {
    List<Engine> known = node.directory.ofService("s");
    for (int i = 0; i < Math.min(loads.size(), known.size()); i++) {
      known.get(i).load().reported(loads.get(i), asOf);
    }
  }

  /** All nodes start with nothing learnt. */
  void restartNodes() {
    nodes.clear();
    for (int i = 0; i < NODES; i++) {
      nodes.add(new Node());
    }
  }

  /** Nobody hears of the load of engines any more. */
  void loseView() {
    viewGone = true;
  }

  /** The last engines finish what they run and get nothing new; what waits there goes elsewhere. */
  void loseEngines(int count) {
    List<Place> leaving = engines.subList(enginesLeft - count, enginesLeft);
    enginesLeft -= count;
    for (Node node : nodes) {
      for (int i = enginesLeft; i < enginesLeft + count; i++) {
        node.directory.remove("e" + i, 0, eventLoop.nanoTime());
      }
    }
    for (Place place : leaving) {
      List<Turn> moved = List.copyOf(place.waiting);
      place.waiting.clear();
      moved.forEach(Turn::leave);
      moved.forEach(Turn::join);
    }
  }

  /** Programs ask to begin, evenly on average, for a while. */
  void demand(double perSecond, long forMillis) {
    demand("kind", 0, perSecond, forMillis);
  }

  void demand(String kind, int rank, double perSecond, long forMillis) {
    for (int i = 0; i < perSecond * forMillis / 1e3; i++) {
      eventLoop.schedule(random.nextInt((int) forMillis), () -> begin(kind, rank));
    }
  }

  private void begin(String kind, int rank) {
    Program program = new Program(kind, rank);
    programs.add(program);
    program.ask();
  }

  long millis() {
    return eventLoop.nanoTime() / 1_000_000;
  }
}
