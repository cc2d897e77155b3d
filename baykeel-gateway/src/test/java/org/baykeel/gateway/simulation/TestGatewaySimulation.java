package org.baykeel.gateway.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicReference;
import org.baykeel.gateway.configuration.Backend;
import org.baykeel.gateway.configuration.GatewayConfiguration;
import org.baykeel.gateway.configuration.RequestLimits;
import org.baykeel.gateway.configuration.Route;
import org.baykeel.gateway.configuration.RouteKind;
import org.baykeel.gateway.configuration.ServiceProfile;
import org.baykeel.gateway.history.SearchLimits;
import org.baykeel.gateway.history.StoredTurn;
import org.baykeel.gateway.history.TurnHistory.Lookup;
import org.baykeel.gateway.program.ProgramId;
import org.baykeel.gateway.residency.Residency;
import org.baykeel.gateway.testing.TestingEventLoop;
import org.baykeel.gateway.testing.TestingHandover;
import org.baykeel.gateway.testing.TestingStore;
import org.baykeel.gateway.testing.TestingStore.Fault;
import org.junit.jupiter.api.Test;

/**
 * Runs several nodes with faulty engines and a faulty store in virtual time, from a seed. Single
 * nodes or all at once lose power; the store refuses writes, loses responses, applies writes late
 * and fails reads. Guards against turns that run twice, spend more than the budget or lose their
 * history.
 */
class TestGatewaySimulation {
  private static final int SEEDS = 300;
  private static final int NODES = 3;
  private static final int PROGRAMS = 6;
  private static final int STEPS = 120;
  private static final long SETTLE_MILLIS = 20_000;

  private static GatewayConfiguration configuration() {
    return new GatewayConfiguration(
        1,
        List.of(route("/kept/", true, false), route("/resumable/", false, true)),
        List.of(new ServiceProfile("s", 100, SimulatedProgram.TOKENS_PER_EVENT)),
        RequestLimits.DEFAULT);
  }

  private static Route route(String prefix, boolean retained, boolean resumable) {
    return new Route(
        prefix,
        "h",
        prefix,
        RouteKind.STREAMING,
        3_000,
        200,
        300,
        0,
        List.of(new Backend("s", 1)),
        2,
        retained,
        60_000,
        true,
        resumable,
        false,
        Residency.ANY);
  }

  /** One schedule of calls and faults. */
  private static final class Schedule {
    private final Random random;
    private final TestingEventLoop eventLoop = new TestingEventLoop();
    private final TestingStore store = new TestingStore(eventLoop);
    private final SimulatedEngines engines;
    private final TestingHandover handover;
    private final List<SimulatedNode> nodes = new ArrayList<>();
    private final List<SimulatedProgram> programs = new ArrayList<>();
    private final List<Integer> nodeOfProgram = new ArrayList<>();

    Schedule(int seed) {
      random = new Random(seed);
      handover = new TestingHandover(eventLoop, new Random(seed + 2_000_000));
      engines = new SimulatedEngines(eventLoop, new Random(seed + 1_000_000));
      for (int i = 0; i < NODES; i++) {
        nodes.add(startNode());
      }
      for (int i = 0; i < PROGRAMS; i++) {
        String path = i % 2 == 0 ? "/kept/" : "/resumable/";
        programs.add(new SimulatedProgram("p" + i, path, 200 + random.nextInt(600)));
        nodeOfProgram.add(0);
      }
    }

    private SimulatedNode startNode() {
      return new SimulatedNode(
          eventLoop, store, engines, configuration(), handover, new Random(random.nextLong()));
    }

    void run() {
      for (int step = 0; step < STEPS; step++) {
        injectFault();
        int program = random.nextInt(PROGRAMS);
        if (random.nextInt(4) == 0) {
          nodeOfProgram.set(program, random.nextInt(NODES));
        }
        programs.get(program).startNextCall(nodes.get(nodeOfProgram.get(program)), eventLoop);
        eventLoop.advance(random.nextInt(200));
      }
      store.fault(Fault.NONE);
      store.failReads(false);
      eventLoop.advance(SETTLE_MILLIS);
    }

    private void injectFault() {
      int roll = random.nextInt(100);
      if (roll < 10) {
        store.fault(Fault.values()[random.nextInt(Fault.values().length)]);
      } else if (roll < 14) {
        store.failReads(random.nextBoolean());
      } else if (roll < 18) {
        losePower(random.nextInt(NODES));
      } else if (roll < 19) {
        for (int i = 0; i < NODES; i++) {
          losePower(i);
        }
      } else if (roll < 24) {
        restartEngine("e" + random.nextInt(SimulatedEngines.ENGINES));
      }
    }

    /**
     * Restarts an engine. Nodes receive the start at different times, and two starts in any order.
     */
    private void restartEngine(String engine) {
      engines.restart(engine);
      long startMillis = engines.startMillis(engine);
      for (SimulatedNode node : nodes) {
        boolean entryFirst = random.nextBoolean();
        eventLoop.schedule(
            random.nextInt(2_000), () -> node.onEngineStart(engine, startMillis, entryFirst));
        eventLoop.schedule(
            random.nextInt(2_000), () -> node.onEngineStart(engine, startMillis, !entryFirst));
      }
    }

    private void losePower(int node) {
      for (int i = 0; i < PROGRAMS; i++) {
        if (nodeOfProgram.get(i) == node) {
          programs.get(i).onNodeLost();
        }
      }
      nodes.get(node).losePower();
      nodes.set(node, startNode());
    }

    void check(String seed) {
      for (SimulatedProgram program : programs) {
        assertTrue(
            program.tokensReceived() <= program.budget() + SimulatedProgram.TURN_TOKENS,
            seed + ": received " + program.tokensReceived() + " of " + program.budget());
        for (SimulatedProgram.ProgramCall call : program.calls()) {
          checkCall(seed + " " + call.id(), program, call);
        }
      }
      checkHistory(seed);
      checkEngines(seed);
    }

    private void checkEngines(String seed) {
      for (SimulatedNode node : nodes) {
        for (int i = 0; i < SimulatedEngines.ENGINES; i++) {
          assertEquals(
              engines.startMillis("e" + i), node.engineStartMillis("e" + i), seed + ": e" + i);
        }
        assertEquals(0, node.inFlight(), seed + ": requests in progress");
      }
    }

    private void checkCall(
        String label, SimulatedProgram program, SimulatedProgram.ProgramCall call) {
      boolean retained = program.calls().indexOf(call) >= 0 && isRetained(program);
      int runs = engines.runs(call.id());
      assertTrue(runs <= (retained ? 1 : 2), label + " ran " + runs + " times");
      assertTrue(!call.outOfOrder(), label + " got events out of order");
      if (call.ended()) {
        assertEquals(SimulatedEngines.EVENTS, call.events(), label + " ended early");
      }
      if (call.refusal() != null) {
        int status = call.refusal().kind().httpStatus();
        if (status == 402 || status == 404 || retained && status == 503) {
          assertEquals(0, runs, label + " ran although the response status was " + status);
        }
        assertTrue(status != 404 || call.id().isEmpty(), label + ": a stored turn is unknown");
      }
      if (retained && runs > 0) {
        String expected =
            program.historyText(program.previousOf(call)) + SimulatedProgram.input(call.id());
        assertEquals(expected, engines.body(call.id()), label + " ran with another history");
      }
    }

    private boolean isRetained(SimulatedProgram program) {
      return programs.indexOf(program) % 2 == 0;
    }

    private void checkHistory(String seed) {
      SimulatedNode fresh = startNode();
      for (SimulatedProgram program : programs) {
        if (!isRetained(program) || program.lastCompleted() == null) {
          continue;
        }
        AtomicReference<Lookup> found = new AtomicReference<>();
        long giveUp = eventLoop.nanoTime() + 1_000_000_000L;
        SearchLimits limits = new SearchLimits(giveUp, giveUp);
        fresh.history().find(new ProgramId("any"), program.lastCompleted(), limits, found::set);
        eventLoop.advance(2_000);
        assertTrue(found.get() instanceof Lookup.Found, seed + ": lost " + program.lastCompleted());
        List<StoredTurn> chain = ((Lookup.Found) found.get()).conversation().turns();
        assertEquals(program.lastCompleted(), chain.get(chain.size() - 1).id());
      }
    }
  }

  @Test
  void guaranteesHoldUnderFaults() {
    int completed = 0;
    for (int seed = 0; seed < SEEDS; seed++) {
      Schedule schedule = new Schedule(seed);
      schedule.run();
      schedule.check("seed " + seed);
      for (SimulatedProgram program : schedule.programs) {
        completed +=
            (int) program.calls().stream().filter(SimulatedProgram.ProgramCall::ended).count();
      }
    }
    assertTrue(completed > SEEDS * 10, "too few completed calls: " + completed);
  }
}
