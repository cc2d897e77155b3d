package org.baykeel.bench.hollow;

import static java.util.Objects.requireNonNull;

import java.util.EnumMap;
import java.util.Map;
import java.util.function.Consumer;
import org.baykeel.core.log.LogEvent;
import org.baykeel.core.message.AttemptId;
import org.baykeel.core.message.BackendAttempt;
import org.baykeel.core.message.CallerReply;
import org.baykeel.core.message.EngineReport;
import org.baykeel.core.message.MemberId;
import org.baykeel.core.message.NodeAddress;
import org.baykeel.core.message.Payload;
import org.baykeel.core.message.PeerMessage;
import org.baykeel.core.node.NodeCore;
import org.baykeel.core.node.NodeOutput;
import org.baykeel.core.platform.TableResult;

/**
 * A node without callers and back ends: its control state machines are the real ones, its network
 * is counted instead of sent.
 */
final class HollowNode {
  private static final int TICK_MILLIS = 50;
  private static final int POLL_MICROS = 1_500;

  private final HollowFleet fleet;
  private final int index;
  private final NodeAddress address;
  private final Map<TrafficKind, Traffic> sent = new EnumMap<>(TrafficKind.class);
  private NodeCore core;
  private int life;
  private boolean alive;
  private long busyNanos;

  /** Messages and bytes of one kind. */
  static final class Traffic {
    long messages;
    long bytes;
  }

  HollowNode(HollowFleet fleet, int index, NodeAddress address) {
    this.fleet = requireNonNull(fleet, "fleet");
    this.index = index;
    this.address = requireNonNull(address, "address");
    resetCounters();
  }

  int index() {
    return index;
  }

  NodeAddress address() {
    return address;
  }

  NodeCore core() {
    return core;
  }

  boolean isAlive() {
    return alive;
  }

  long busyNanos() {
    return busyNanos;
  }

  Map<TrafficKind, Traffic> sent() {
    return sent;
  }

  void resetCounters() {
    busyNanos = 0;
    for (TrafficKind kind : TrafficKind.values()) {
      sent.put(kind, new Traffic());
    }
  }

  void start() {
    life++;
    alive = true;
    MemberId id = new MemberId(index + 1, fleet.time().millis());
    long seed = fleet.random().nextLong();
    core = new NodeCore(id, address, fleet.settings(), new Output(), seed, fleet.time().millis());
    long firstTick = fleet.random().nextInt(TICK_MILLIS);
    int startedLife = life;
    fleet.time().afterMillis(firstTick, () -> tick(startedLife));
  }

  void kill() {
    alive = false;
  }

  private void tick(int tickLife) {
    if (!alive || life != tickLife) {
      return;
    }
    measured(() -> core.tick(fleet.time().millis()));
    fleet.time().afterMillis(TICK_MILLIS, () -> tick(tickLife));
  }

  /** Runs work on the node and counts its processor time. */
  void measured(Runnable work) {
    long started = System.nanoTime();
    work.run();
    busyNanos += System.nanoTime() - started;
  }

  void receive(MemberId from, MemberId to, PeerMessage message) {
    if (alive && (to.equals(MemberId.NONE) || to.equals(core.self()))) {
      measured(
          () -> {
            core.onPeerMessage(from, message, fleet.time().millis());
            core.endCycle(fleet.time().millis());
          });
    }
  }

  private final class Output implements NodeOutput {
    private final int outputLife = life;

    private void later(long micros, Runnable work) {
      fleet
          .time()
          .after(
              micros,
              () -> {
                if (alive && life == outputLife) {
                  measured(work);
                }
              });
    }

    @Override
    public void sendToPeer(MemberId to, NodeAddress peer, PeerMessage message) {
      fleet.send(HollowNode.this, core.self(), to, peer.host(), message);
    }

    @Override
    public void sendToAddress(String host, int port, PeerMessage message) {
      fleet.send(HollowNode.this, core.self(), MemberId.NONE, host, message);
    }

    @Override
    public void pollEngine(String engine, String engineAddress) {
      EngineReport report = fleet.engineReport(engine);
      later(POLL_MICROS, () -> core.onEngineReport(report, fleet.time().millis()));
    }

    @Override
    public void readRow(String key, Consumer<TableResult> callback) {
      fleet.readRow(key, result -> later(0, () -> callback.accept(result)));
    }

    @Override
    public void writeRow(
        String key, long expectedVersion, Payload value, Consumer<TableResult> callback) {
      fleet.writeRow(
          key, expectedVersion, value, result -> later(0, () -> callback.accept(result)));
    }

    @Override
    public void event(LogEvent event, Object... arguments) {
      fleet.logged(index, event);
    }

    @Override
    public void deliver(long requestId, CallerReply reply) {
      // A hollow node has no callers.
    }

    @Override
    public void startAttempt(BackendAttempt attempt) {
      // A hollow node has no back ends.
    }

    @Override
    public void cancelAttempt(AttemptId id, String backend, String backendAddress) {
      // A hollow node has no back ends.
    }

    @Override
    public void abandonAttempt(AttemptId id) {
      // A hollow node has no back ends.
    }

    @Override
    public void releaseCache(String engine, String engineAddress, String programId) {
      // A hollow node has no back ends.
    }

    @Override
    public void pollInventory(String engine, String engineAddress) {
      // A hollow node has no back ends.
    }
  }
}
