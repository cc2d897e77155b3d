package org.baykeel.gateway.quarantine;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.baykeel.gateway.directory.Engine;
import org.baykeel.gateway.directory.EngineDirectory;
import org.baykeel.gateway.directory.EngineId;
import org.baykeel.gateway.directory.EngineRecord;
import org.baykeel.gateway.peer.PeerAddress;
import org.baykeel.gateway.peer.PeerDirectory;
import org.baykeel.gateway.peer.PeerMessageCodec;
import org.baykeel.gateway.peer.PeerMessageDispatcher;
import org.baykeel.gateway.peer.PeerTransport;
import org.baykeel.gateway.program.RequestFingerprint;
import org.baykeel.gateway.storage.StoreClock;
import org.baykeel.gateway.testing.TestingEventLoop;
import org.baykeel.gateway.testing.TestingPeerNetwork;
import org.baykeel.gateway.testing.TestingProcess;
import org.baykeel.gateway.testing.TestingStore;
import org.baykeel.gateway.topology.Topology;

/** Quarantines of several nodes in virtual time, with one store and one network of datagrams. */
final class QuarantineNodes {
  /** The liveness of engines that have not ended. */
  EngineLiveness livenessOfRunning = EngineLiveness.RUNNING;

  /** What engines that have not ended answer to a question; null for {@link #livenessOfRunning}. */
  EngineLiveness answerOfRunning;

  /** The time that a check of an engine takes, in milliseconds. */
  long checkMillis = 2;

  /** A node has read the rows and heard its peers within this time, in milliseconds. */
  private static final long START_MILLIS = 40;

  /** The nodes have run for so long when a test begins, in milliseconds. */
  private static final long UPTIME_MILLIS = 10_000;

  private final TestingEventLoop eventLoop = new TestingEventLoop();
  private final TestingStore store = new TestingStore(eventLoop);
  private final TestingPeerNetwork network = new TestingPeerNetwork(eventLoop);
  private final Set<String> ended = new HashSet<>();
  private final List<Node> nodes = new ArrayList<>();
  private final int engineCount;
  private final int zones;

  /** Starts nodes of one zone that know some engines, named from e0 on. */
  QuarantineNodes(int nodeCount, int engineCount) {
    this(nodeCount, engineCount, 1);
  }

  /** Starts nodes of several zones of one region. */
  QuarantineNodes(int nodeCount, int engineCount, int zones) {
    this(nodeCount, engineCount, zones, datagram -> false);
  }

  /** Starts nodes between which certain datagrams are lost. */
  QuarantineNodes(int nodeCount, int engineCount, int zones, Predicate<byte[]> lost) {
    network.lose(lost);
    this.engineCount = engineCount;
    this.zones = zones;
    for (int i = 0; i < nodeCount; i++) {
      nodes.add(new Node(i));
    }
    eventLoop.advance(UPTIME_MILLIS);
  }

  TestingEventLoop eventLoop() {
    return eventLoop;
  }

  TestingStore store() {
    return store;
  }

  TestingPeerNetwork network() {
    return network;
  }

  /** The identifiers of the engines that have ended. */
  Set<String> ended() {
    return ended;
  }

  List<Node> nodes() {
    return nodes;
  }

  /** Replaces a node by a new incarnation, which knows nothing. */
  Node restart(int number) {
    Node node = restartWithoutPause(number);
    eventLoop.advance(START_MILLIS);
    return node;
  }

  /** The same, before the new incarnation has received anything. */
  Node restartWithoutPause(int number) {
    nodes.get(number).process().kill();
    nodes.set(number, new Node(number));
    return nodes.get(number);
  }

  /** Finds what the test says. */
  private final class LivenessOfFakes implements EngineLivenessCheck {
    private final TestingProcess process;

    LivenessOfFakes(TestingProcess process) {
      this.process = process;
    }

    private void answer(Engine engine, EngineLiveness ofRunning, Consumer<EngineLiveness> answer) {
      boolean hasEnded = ended.contains(engine.record().id());
      EngineLiveness liveness = hasEnded ? EngineLiveness.ENDED : ofRunning;
      process.schedule(checkMillis, () -> answer.accept(liveness));
    }

    @Override
    public void check(Engine engine, Consumer<EngineLiveness> answer) {
      answer(engine, livenessOfRunning, answer);
    }

    @Override
    public void ask(Engine engine, Consumer<EngineLiveness> answer) {
      answer(engine, answerOfRunning == null ? livenessOfRunning : answerOfRunning, answer);
    }
  }

  /** One incarnation of a node. */
  final class Node {
    private final PeerAddress address;
    private final TestingProcess process = new TestingProcess(eventLoop);
    private final EngineDirectory engines = new EngineDirectory(1);
    private final RequestQuarantine quarantine;

    private Node(int number) {
      address = new PeerAddress("10.0.0." + number, 7_000);
      PeerMessageCodec codec = new PeerMessageCodec();
      PeerTransport transport = network.transportOf(address);
      StoreClock clock = new StoreClock();
      clock.observe(eventLoop.nanoTime(), eventLoop.nanoTime(), eventLoop.nanoTime() / 1_000_000);
      PeerDirectory peers =
          new PeerDirectory(
              "n" + number,
              address,
              process.storeOf(store),
              process,
              transport,
              codec,
              Topology.ofOneRegion("z" + number % zones),
              (event, fields) -> {});
      quarantine =
          new RequestQuarantine(
              "n" + number,
              engines,
              Topology.ofOneRegion("z" + number % zones),
              new LivenessOfFakes(process),
              peers,
              transport,
              codec,
              process.storeOf(store),
              clock,
              process,
              (event, fields) -> {});
      network.attach(
          address,
          process.receiverOf(new PeerMessageDispatcher(codec, peers, List.of(quarantine))));
      peers.join();
      quarantine.start();
      for (int i = 0; i < engineCount; i++) {
        engines.put(new EngineRecord("e" + i, "s", "10.0.1." + i, 80, "z", 8, false));
      }
    }

    PeerAddress address() {
      return address;
    }

    TestingProcess process() {
      return process;
    }

    RequestQuarantine quarantine() {
      return quarantine;
    }

    EngineDirectory engines() {
      return engines;
    }

    Engine engine(int number) {
      return engines.find(new EngineId("e" + number));
    }

    void loseConnection(int engine, RequestFingerprint... requests) {
      for (RequestFingerprint request : requests) {
        quarantine.connectionLost(engine(engine), request, () -> {});
      }
    }

    /** Returns the verdict on {@link TestRequestQuarantine#FATAL}. */
    Verdict verdict() {
      return quarantine.verdict(TestRequestQuarantine.FATAL);
    }
  }
}
