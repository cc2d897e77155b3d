package org.baykeel.gateway.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.baykeel.gateway.directory.Engine;
import org.baykeel.gateway.directory.EngineDirectory;
import org.baykeel.gateway.directory.EngineId;
import org.baykeel.gateway.directory.EngineLoad;
import org.baykeel.gateway.directory.EngineRecord;
import org.baykeel.gateway.peer.PeerAddress;
import org.baykeel.gateway.peer.PeerDirectory;
import org.baykeel.gateway.peer.PeerLatency;
import org.baykeel.gateway.peer.PeerMessageCodec;
import org.baykeel.gateway.peer.PeerMessageDispatcher;
import org.baykeel.gateway.peer.PeerTransport;
import org.baykeel.gateway.telemetry.GatewayEvent;
import org.baykeel.gateway.telemetry.GatewayMetrics;
import org.baykeel.gateway.testing.TestingEventLoop;
import org.baykeel.gateway.testing.TestingLoadReportClient;
import org.baykeel.gateway.testing.TestingPeerNetwork;
import org.baykeel.gateway.testing.TestingStore;
import org.baykeel.gateway.topology.RegionId;
import org.baykeel.gateway.topology.Topology;

/** Nodes and engines of one region, and of another if a test adds some, in virtual time. */
final class SimulatedRegion {
  static final int SLOTS = 16;
  static final EngineLoad UNLOADED = new EngineLoad(0, 2, 10, 100);
  static final EngineLoad LOADED = new EngineLoad(3, 16, 90, 100);

  static final String ZONE = "z";
  static final String ZONE_OF_OTHER_REGION = "y";

  private static final Map<String, RegionId> REGIONS =
      Map.of(ZONE, new RegionId("east"), ZONE_OF_OTHER_REGION, new RegionId("west"));
  private static final long JOIN_MILLIS = 2_000;

  final TestingEventLoop eventLoop = new TestingEventLoop();
  final TestingStore store = new TestingStore(eventLoop);
  final TestingPeerNetwork network = new TestingPeerNetwork(eventLoop);
  final TestingLoadReportClient reports = new TestingLoadReportClient(eventLoop);
  final List<Node> nodes = new ArrayList<>();
  private final int engineCount;

  /** One incarnation of one node. */
  final class Node {
    final String name;
    final PeerAddress address;
    final EngineDirectory engines = new EngineDirectory(1);
    final PeerDirectory peers;
    final GatewayMetrics metrics = new GatewayMetrics();
    final LoadSharing sharedLoad;
    final List<GatewayEvent> events = new ArrayList<>();
    private boolean stopped;

    Node(int number, String zone) {
      name = "n" + number;
      address = new PeerAddress("10.0.0." + number, 7_000);
      PeerMessageCodec codec = new PeerMessageCodec();
      PeerTransport networkTransport = network.transportOf(address);
      PeerTransport transport =
          (receiver, datagram) -> {
            if (!stopped) {
              networkTransport.send(receiver, datagram);
            }
          };
      Topology topology = new Topology(zone, REGIONS);
      peers =
          new PeerDirectory(
              name, address, store, eventLoop, transport, codec, topology, (event, fields) -> {});
      sharedLoad =
          new LoadSharing(
              address,
              engines,
              peers,
              transport,
              codec,
              topology,
              (engine, answer) -> {
                if (!stopped) {
                  reports.of(name).query(engine, answer);
                }
              },
              PeerLatency.ZERO,
              eventLoop,
              (event, fields) -> events.add(event));
      sharedLoad.register(metrics);
      IntStream.range(0, engineCount).forEach(i -> engines.put(record("e" + i)));
      network.attach(address, new PeerMessageDispatcher(codec, peers, List.of(sharedLoad)));
      peers.join();
      sharedLoad.start();
    }

    /** Stops the process: it sends and receives nothing more. */
    void kill() {
      stopped = true;
      network.detach(address);
      nodes.remove(this);
    }

    Engine engine(String id) {
      return engines.find(new EngineId(id));
    }

    /**
     * Returns the requests at the engine according to the node's load estimate; -1 if there is no
     * report that is not too old.
     */
    int estimatedRequests(String id) {
      long now = eventLoop.nanoTime();
      return engine(id).load().known(now) ? engine(id).load().requests(now) : -1;
    }

    long ageMillis(String id) {
      return engine(id).load().ageNanos(eventLoop.nanoTime()) / 1_000_000;
    }

    /** Returns the value of a metric as exposed to an operator. */
    long metric(String name) {
      String full = "baykeel_gateway_load_" + name + ' ';
      return new String(metrics.render(), java.nio.charset.StandardCharsets.UTF_8)
          .lines()
          .filter(line -> line.startsWith(full))
          .mapToLong(line -> (long) Double.parseDouble(line.substring(full.length())))
          .findFirst()
          .orElseThrow();
    }
  }

  /** Creates a region whose nodes know each other and whose engines all have the same load. */
  SimulatedRegion(int nodeCount, int engineCount, EngineLoad load) {
    this.engineCount = engineCount;
    IntStream.range(0, engineCount).forEach(i -> reports.set("e" + i, load));
    IntStream.range(0, nodeCount).forEach(i -> nodes.add(new Node(i, ZONE)));
    eventLoop.advance(JOIN_MILLIS);
  }

  static EngineRecord record(String id) {
    return record(id, ZONE);
  }

  static EngineRecord record(String id, String zone) {
    return new EngineRecord(id, "s", "10.9.0.1", 80, zone, SLOTS, false);
  }

  /** Starts a node; the number may be that of a node that ran before. */
  Node start(int number) {
    return start(number, ZONE);
  }

  /** Starts a node of a zone. */
  Node start(int number, String zone) {
    Node node = new Node(number, zone);
    nodes.add(node);
    return node;
  }

  /** Returns the node that sent the last query to an engine. */
  Node reporterOf(String engine) {
    String name = null;
    for (TestingLoadReportClient.Query query : reports.queries()) {
      if (query.engine().equals(engine)) {
        name = query.node();
      }
    }
    String found = name;
    return nodes.stream().filter(node -> node.name.equals(found)).findFirst().orElseThrow();
  }

  /**
   * Returns the nodes that query an engine within the next given time, with one entry per query.
   */
  List<String> queryingNodes(String engine, long millis) {
    int before = reports.queries().size();
    eventLoop.advance(millis);
    return reports.queries().stream()
        .skip(before)
        .filter(query -> query.engine().equals(engine))
        .map(TestingLoadReportClient.Query::node)
        .toList();
  }

  /** Cuts or restores all links between two groups of nodes. */
  void cut(List<Node> one, List<Node> other, boolean cut) {
    for (Node from : one) {
      for (Node to : other) {
        network.cut(from.address, to.address, cut);
        network.cut(to.address, from.address, cut);
      }
    }
  }
}
