package org.baykeel.bench.simulation;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.baykeel.core.log.LogEvent;
import org.baykeel.core.message.AttemptFailure;
import org.baykeel.core.message.AttemptId;
import org.baykeel.core.message.BackendAttempt;
import org.baykeel.core.message.CallKind;
import org.baykeel.core.message.CallerReply;
import org.baykeel.core.message.MemberId;
import org.baykeel.core.message.NodeAddress;
import org.baykeel.core.message.Payload;
import org.baykeel.core.message.PeerMessage;
import org.baykeel.core.message.Usage;
import org.baykeel.core.node.NodeCore;
import org.baykeel.core.node.NodeOutput;
import org.baykeel.core.platform.TableResult;

/**
 * One node in virtual time: the core that also runs in production, with a simulated network around
 * it. A frozen node gets what was sent to it when it wakes; a killed one comes back empty.
 */
final class SimulatedNode {
  private static final int TICK_MILLIS = 50;
  private static final int BACKEND_MICROS = 2_000;

  private final Simulation simulation;
  private final int index;
  private final NodeAddress address;
  private NodeCore core;
  private int life;
  private boolean alive;
  private boolean frozen;
  private boolean stopping;
  private List<Runnable> whileFrozen = new ArrayList<>();

  SimulatedNode(Simulation simulation, int index, NodeAddress address) {
    this.simulation = requireNonNull(simulation, "simulation");
    this.index = index;
    this.address = requireNonNull(address, "address");
  }

  int index() {
    return index;
  }

  NodeCore core() {
    return core;
  }

  NodeAddress address() {
    return address;
  }

  boolean isAlive() {
    return alive;
  }

  boolean isFrozen() {
    return frozen;
  }

  boolean isStopping() {
    return stopping;
  }

  int life() {
    return life;
  }

  void start() {
    life++;
    alive = true;
    frozen = false;
    stopping = false;
    whileFrozen = new ArrayList<>();
    MemberId id = new MemberId(index + 1, simulation.time().millis());
    core =
        new NodeCore(
            id,
            address,
            simulation.nodeSettings(),
            new Output(life),
            simulation.random().nextLong(),
            simulation.time().millis());
    tickLater(life);
  }

  private void tickLater(int tickLife) {
    simulation
        .time()
        .afterMillis(
            TICK_MILLIS,
            () -> {
              if (life != tickLife || !alive) {
                return;
              }
              if (!frozen) {
                core.tick(simulation.time().millis());
                simulation.observe(this);
              }
              if (alive && life == tickLife) {
                tickLater(tickLife);
              }
            });
  }

  void kill() {
    alive = false;
    frozen = false;
    simulation.nodeGone(this);
  }

  void freeze() {
    frozen = true;
  }

  /** Wakes up: everything that came meanwhile is handled before any clock tick. */
  void thaw() {
    frozen = false;
    List<Runnable> late = whileFrozen;
    whileFrozen = new ArrayList<>();
    late.forEach(Runnable::run);
  }

  void beginStop() {
    stopping = true;
    run(life, () -> core.beginStop(simulation.time().millis()));
  }

  /** Runs something on the node, unless its process is another by then. */
  void run(int expectedLife, Runnable work) {
    if (!alive || life != expectedLife) {
      return;
    }
    if (frozen) {
      whileFrozen.add(() -> run(expectedLife, work));
      return;
    }
    work.run();
    core.endCycle(simulation.time().millis());
  }

  void receive(MemberId from, MemberId to, PeerMessage message) {
    if (alive && (to.equals(MemberId.NONE) || to.equals(core.self()))) {
      run(life, () -> core.onPeerMessage(from, message, simulation.time().millis()));
    }
  }

  /** What the core does to the outside, for one life of the node. */
  private final class Output implements NodeOutput {
    private final int outputLife;

    Output(int outputLife) {
      this.outputLife = outputLife;
    }

    private long now() {
      return simulation.time().millis();
    }

    @Override
    public void sendToPeer(MemberId to, NodeAddress peer, PeerMessage message) {
      simulation.send(SimulatedNode.this, core.self(), to, peer, message);
    }

    @Override
    public void sendToAddress(String host, int port, PeerMessage message) {
      NodeAddress peer = new NodeAddress(host, port, 0, "", "");
      simulation.send(SimulatedNode.this, core.self(), MemberId.NONE, peer, message);
    }

    @Override
    public void deliver(long requestId, CallerReply reply) {
      simulation.deliver(SimulatedNode.this, outputLife, requestId, reply);
    }

    @Override
    public void startAttempt(BackendAttempt attempt) {
      SimulatedEngine.Client client = new AttemptClient(attempt.id());
      simulation
          .time()
          .after(
              BACKEND_MICROS,
              () -> {
                if (attempt.kind() == CallKind.MODEL) {
                  simulation.engine(attempt.backend()).start(attempt, client);
                } else {
                  simulation.tool().start(attempt, client);
                }
              });
    }

    /** Connects a back end's answers with this life of the node. */
    private final class AttemptClient implements SimulatedEngine.Client {
      private final AttemptId id;

      AttemptClient(AttemptId id) {
        this.id = id;
      }

      private void toNode(Runnable work) {
        simulation.time().after(BACKEND_MICROS, () -> run(outputLife, work));
      }

      @Override
      public void text(int offset, Payload text) {
        toNode(() -> core.onAttemptText(id, offset, text, now()));
      }

      @Override
      public void completed(Payload answer, Usage usage) {
        toNode(() -> core.onAttemptCompleted(id, answer, usage, now()));
      }

      @Override
      public void failed(AttemptFailure failure) {
        toNode(() -> core.onAttemptFailed(id, failure, now()));
      }

      @Override
      public boolean isConnected() {
        return alive && life == outputLife;
      }
    }

    @Override
    public void cancelAttempt(AttemptId id, String backend, String backendAddress) {
      simulation.time().after(BACKEND_MICROS, () -> simulation.cancel(backend, id.toString()));
    }

    @Override
    public void abandonAttempt(AttemptId id) {
      simulation.time().after(BACKEND_MICROS, () -> simulation.abandon(id.toString()));
    }

    @Override
    public void releaseCache(String engine, String engineAddress, String programId) {
      simulation
          .time()
          .after(
              BACKEND_MICROS,
              () -> {
                SimulatedEngine target = simulation.engine(engine);
                if (target.isAlive()) {
                  target.model().release(programId);
                  simulation
                      .time()
                      .after(
                          BACKEND_MICROS,
                          () ->
                              run(
                                  outputLife,
                                  () -> core.onCacheReleased(engine, programId, now())));
                }
              });
    }

    @Override
    public void pollEngine(String engine, String engineAddress) {
      simulation
          .time()
          .after(
              BACKEND_MICROS,
              () -> {
                var report = simulation.engine(engine).report();
                run(outputLife, () -> core.onEngineReport(report, now()));
              });
    }

    @Override
    public void pollInventory(String engine, String engineAddress) {
      simulation
          .time()
          .after(
              BACKEND_MICROS,
              () -> {
                SimulatedEngine target = simulation.engine(engine);
                if (target.isAlive()) {
                  List<String> programs = target.model().cachedPrograms();
                  run(outputLife, () -> core.onInventory(engine, programs, now()));
                }
              });
    }

    @Override
    public void event(LogEvent event, Object... arguments) {
      simulation.logged(index, event, arguments);
    }

    @Override
    public void readRow(String key, Consumer<TableResult> callback) {
      simulation.platform().readRow(key, result -> callBack(callback, result));
    }

    @Override
    public void writeRow(
        String key, long expectedVersion, Payload value, Consumer<TableResult> callback) {
      simulation
          .platform()
          .writeRow(key, expectedVersion, value, result -> callBack(callback, result));
    }

    private <T> void callBack(Consumer<T> callback, T result) {
      run(outputLife, () -> callback.accept(result));
    }
  }
}
