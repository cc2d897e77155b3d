package org.baykeel.gateway.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.baykeel.gateway.budget.GrantIds;
import org.baykeel.gateway.budget.ProgramBudgets;
import org.baykeel.gateway.call.CallCoordinator;
import org.baykeel.gateway.call.CallRequest;
import org.baykeel.gateway.call.CallResponder;
import org.baykeel.gateway.call.ClientCall;
import org.baykeel.gateway.call.GatewayState;
import org.baykeel.gateway.configuration.GatewayConfiguration;
import org.baykeel.gateway.directory.Engine;
import org.baykeel.gateway.directory.EngineDirectory;
import org.baykeel.gateway.directory.EngineId;
import org.baykeel.gateway.directory.EngineRecord;
import org.baykeel.gateway.history.ConversationBounds;
import org.baykeel.gateway.history.TurnHistory;
import org.baykeel.gateway.storage.StoreHealth;
import org.baykeel.gateway.testing.TestingContext;
import org.baykeel.gateway.testing.TestingEventLoop;
import org.baykeel.gateway.testing.TestingHandover;
import org.baykeel.gateway.testing.TestingStore;
import org.baykeel.gateway.urgency.ProgramUrgency;

/**
 * One incarnation of a node. All its state is lost with it; only the store and the engines remain.
 */
final class SimulatedNode {
  /** Few turns stay in memory without a call that continues them. */
  private static final ConversationBounds CONVERSATIONS = new ConversationBounds(1 << 20, 400);

  private final TestingEventLoop eventLoop;
  private final EngineDirectory directory;
  private final GatewayState state;
  private final CallCoordinator coordinator;
  private final TurnHistory history;
  private final TestingHandover.Node handoverNode;
  private final List<ClientCall> calls = new ArrayList<>();

  SimulatedNode(
      TestingEventLoop eventLoop,
      TestingStore store,
      SimulatedEngines engines,
      GatewayConfiguration configuration,
      TestingHandover handover,
      Random random) {
    StoreHealth health = new StoreHealth();
    health.answered(eventLoop.nanoTime());
    directory = new EngineDirectory(1);
    this.eventLoop = eventLoop;
    state = new GatewayState(eventLoop, health, directory, (event, fields) -> {});
    List<EngineRecord> records = new ArrayList<>();
    for (int i = 0; i < SimulatedEngines.ENGINES; i++) {
      records.add(entry("e" + i, engines.startMillis("e" + i)));
    }
    state.replaceEngines(records);
    state.adoptIfNewer(configuration);
    handoverNode = handover.new Node();
    history = new TurnHistory(store, eventLoop, CONVERSATIONS, handoverNode);
    ProgramBudgets budgets =
        new ProgramBudgets(store, eventLoop, new GrantIds(random.nextLong()), handoverNode);
    handoverNode.serve(budgets, history);
    coordinator =
        new CallCoordinator(
            new TestingContext(eventLoop, state, directory, store, health, engines)
                .random(random)
                .budgets(budgets)
                .history(history)
                .urgency(new ProgramUrgency())
                .build());
  }

  private static EngineRecord entry(String engine, long startMillis) {
    return new EngineRecord(engine, "s", "10.0.0.1", 80, "z", 8, false, 0, startMillis);
  }

  /**
   * Receives the start time of an engine from its entry or from a report, possibly of an earlier
   * start.
   */
  void onEngineStart(String engine, long startMillis, boolean entry) {
    if (entry) {
      state.putEngine(entry(engine, startMillis));
    } else {
      directory.adoptStartTime(new EngineId(engine), startMillis, eventLoop.nanoTime());
    }
  }

  /** Returns the last start time of an engine that this node has received. */
  long engineStartMillis(String engine) {
    return directory.find(new EngineId(engine)).record().startMillis();
  }

  /** Returns the number of requests in progress at the current engines. */
  int inFlight() {
    return directory.ofService("s").stream().mapToInt(Engine::inFlight).sum();
  }

  void accept(CallRequest request, CallResponder responder) {
    calls.add(coordinator.accept(request, responder));
  }

  TurnHistory history() {
    return history;
  }

  /**
   * Simulates a power loss: the connections to engines are gone, and no other node reaches this one
   * again.
   */
  void losePower() {
    handoverNode.leave();
    calls.forEach(ClientCall::callerDisconnected);
  }
}
