package org.baykeel.gateway.resumption;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.baykeel.gateway.directory.EngineDirectory;
import org.baykeel.gateway.directory.EngineId;
import org.baykeel.gateway.directory.EngineRecord;
import org.baykeel.gateway.directory.SoftwareVersion;
import org.baykeel.gateway.peer.PeerAddress;
import org.baykeel.gateway.peer.PeerDirectory;
import org.baykeel.gateway.peer.PeerLatency;
import org.baykeel.gateway.peer.PeerMessageCodec;
import org.baykeel.gateway.peer.PeerMessageDispatcher;
import org.baykeel.gateway.peer.PeerTransport;
import org.baykeel.gateway.resumption.StreamVersions.BrokenStream;
import org.baykeel.gateway.storage.TableFreshness;
import org.baykeel.gateway.testing.TestingEventLoop;
import org.baykeel.gateway.testing.TestingPeerNetwork;
import org.baykeel.gateway.testing.TestingStore;
import org.baykeel.gateway.topology.Topology;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a stream that goes on at another software version than the one that began it:
 * nodes in virtual time that may restart, lose messages and know different engines.
 */
class TestStreamVersionDirectory {
  private static final int NODES = 11;
  private static final int STREAMS = 40;
  private static final long LONGEST_REQUEST_MILLIS = 3_000;
  private static final int REGISTRARS = 4;

  /** More than a query and its reply take without the overhead of a link. */
  private static final int MAX_EXCHANGE_BYTES = 80;

  /** Longer than a stream lasts, with the requests that resume it. */
  private static final long WINDOW_MILLIS = 10_100;

  private static final String OLD = "v1";
  private static final String NEW = "v1.1";

  private final TestingEventLoop eventLoop = new TestingEventLoop();
  private final TestingStore store = new TestingStore(eventLoop);
  private final TestingPeerNetwork network = new TestingPeerNetwork(eventLoop);
  private final List<Node> nodes = new ArrayList<>();

  /** One incarnation of a node. */
  private final class Node {
    private final PeerAddress address;
    private final EngineDirectory engines = new EngineDirectory(1);
    private final TableFreshness freshness = new TableFreshness(eventLoop);
    private final StreamVersionDirectory versions;
    private boolean storeAnswers = true;
    private boolean storeFailedRecently;

    Node(int number, List<EngineRecord> listed) {
      address = new PeerAddress("10.0.0." + number, 7_000);
      PeerMessageCodec codec = new PeerMessageCodec();
      PeerTransport transport = network.transportOf(address);
      PeerDirectory peers =
          new PeerDirectory(
              "n" + number,
              address,
              store,
              eventLoop,
              transport,
              codec,
              Topology.ofOneRegion("z"),
              (event, fields) -> {});
      versions =
          new StreamVersionDirectory(
              "n" + number,
              engines.versions(),
              freshness,
              () -> storeFailedRecently,
              store,
              peers,
              transport,
              codec,
              PeerLatency.ZERO,
              eventLoop,
              () -> LONGEST_REQUEST_MILLIS,
              (event, fields) -> {});
      network.attach(address, new PeerMessageDispatcher(codec, peers, List.of(versions)));
      peers.join();
      engines.replaceAll(listed, 0, eventLoop.nanoTime());
      freshness.setCheck(this::askStore);
    }

    private void askStore() {
      long asked = eventLoop.nanoTime();
      if (storeAnswers) {
        eventLoop.schedule(5, () -> freshness.recordProof(asked));
      }
    }

    void put(String id, String version) {
      engines.put(engine(id, version), eventLoop.nanoTime());
    }

    void remove(String id) {
      engines.remove(id, 0, eventLoop.nanoTime());
    }

    void begin(String requestId, String version) {
      versions.recordBegin(requestId, "s", new SoftwareVersion(version));
    }

    /** Returns the version at which a stream may go on, or "unknown". */
    String find(String requestId) {
      List<String> found = new ArrayList<>();
      find(requestId, found);
      eventLoop.advance(400);
      assertEquals(1, found.size(), "number of answers");
      return found.get(0);
    }

    private void find(String requestId, List<String> found) {
      versions.find(
          new BrokenStream("again-" + requestId, requestId, "s"),
          version -> found.add(version.map(SoftwareVersion::text).orElse("unknown")));
    }
  }

  private static EngineRecord engine(String id, String version) {
    return new EngineRecord(
        id, "s", "10.0.1.1", 80, "z", 8, false, 0, 0, Optional.of(new SoftwareVersion(version)));
  }

  @BeforeEach
  void startNodes() {
    for (int i = 0; i < NODES; i++) {
      nodes.add(new Node(i, List.of(engine("e-old", OLD))));
    }
    eventLoop.advance(WINDOW_MILLIS);
  }

  private Node node(int number) {
    return nodes.get(number);
  }

  private void startNewEngine() {
    nodes.forEach(node -> node.put("e-new", NEW));
  }

  private void lose(int number) {
    network.detach(node(number).address);
  }

  private Node restart(int number, EngineRecord... listed) {
    nodes.set(number, new Node(number, List.of(listed)));
    eventLoop.advance(1_000);
    return node(number);
  }

  private void restartAll(EngineRecord... listed) {
    nodes.replaceAll(node -> new Node(nodes.indexOf(node), List.of(listed)));
    eventLoop.advance(1_000);
  }

  private void beginStreams(Node node) {
    for (int i = 0; i < STREAMS; i++) {
      node.begin("r" + i, i % 2 == 0 ? OLD : NEW);
    }
    eventLoop.advance(10);
  }

  /** Returns how many streams a node continues, all of which must be at their own version. */
  private int continued(Node node) {
    List<List<String>> found = new ArrayList<>();
    for (int i = 0; i < STREAMS; i++) {
      found.add(new ArrayList<>());
      node.find("r" + i, found.get(i));
    }
    eventLoop.advance(400);
    int continued = 0;
    for (int i = 0; i < STREAMS; i++) {
      if (!found.get(i).equals(List.of("unknown"))) {
        assertEquals(List.of(i % 2 == 0 ? OLD : NEW), found.get(i));
        continued++;
      }
    }
    return continued;
  }

  @Test
  void streamOfServiceWithOneVersionCostsNoMessageUnlessItIsResumed() {
    long before = network.sentBytes();
    for (int i = 0; i < STREAMS; i++) {
      node(0).begin("r" + i, OLD);
      eventLoop.advance(100);
      node(0).versions.recordComplete("r" + i);
    }
    assertEquals(before, network.sentBytes());
  }

  @Test
  void resumptionAtOnlyVersionCostsOneExchangeWithTheRegistrars() {
    node(0).begin("r", OLD);
    long before = network.sentBytes();
    assertEquals(OLD, node(1).find("r"));
    long bytes = network.sentBytes() - before;
    assertTrue(bytes <= REGISTRARS * MAX_EXCHANGE_BYTES, bytes + " bytes");
  }

  @Test
  void resumptionAtOnlyVersionIsNotDelayedByRegistrarsThatAreGone() {
    node(0).begin("r", OLD);
    for (int i = 2; i < NODES; i++) {
      lose(i);
    }
    List<String> found = new ArrayList<>();
    node(1).find("r", found);
    eventLoop.advance(40);
    assertEquals(List.of(OLD), found);
  }

  @Test
  void versionIsFoundByEveryNodeAfterNodeOfBeginIsLost() {
    startNewEngine();
    beginStreams(node(0));
    lose(0);
    for (int i = 1; i < NODES; i++) {
      assertEquals(STREAMS, continued(node(i)));
    }
  }

  @Test
  void versionIsFoundByMostNodesAfterHalfOfThemAreLost() {
    startNewEngine();
    beginStreams(node(0));
    for (int i = 0; i < 6; i++) {
      lose(i);
    }
    assertTrue(continued(node(6)) >= STREAMS / 2);
  }

  @Test
  void versionIsFoundIfOtherVersionStartedDuringStream() {
    node(0).begin("r", OLD);
    startNewEngine();
    eventLoop.advance(10);
    lose(0);
    assertEquals(OLD, node(1).find("r"));
  }

  @Test
  void completeStreamIsNotSentToPeersWhenOtherVersionStarts() {
    node(0).begin("r", OLD);
    node(0).versions.recordComplete("r");
    long before = network.sentBytes();
    startNewEngine();
    assertEquals(before, network.sentBytes());
  }

  @Test
  void restartedNodeFindsRecordOfPeer() {
    startNewEngine();
    beginStreams(node(0));
    Node restarted = restart(0, engine("e-old", OLD), engine("e-new", NEW));
    assertEquals(STREAMS, continued(restarted));
  }

  @Test
  void restartedNodeTrustsPeersThatSawOnlyOneVersion() {
    node(0).begin("r", OLD);
    assertEquals(OLD, restart(0, engine("e-old", OLD)).find("r"));
  }

  @Test
  void restartedNodeRejectsPeersThatSawOtherVersion() {
    node(0).begin("r", OLD);
    assertEquals("unknown", restart(0, engine("e-new", NEW)).find("r"));
  }

  @ParameterizedTest(name = "{0} ms after all nodes restarted: {1}")
  @CsvSource({"1000, unknown", "11000, v1"})
  void versionIsUnknownUntilAllStreamsBeganAfterRestartOfAllNodes(long millis, String found) {
    node(0).begin("r", OLD);
    restartAll(engine("e-old", OLD));
    eventLoop.advance(millis);
    assertEquals(found, node(1).find("r"));
  }

  /** Guards against the refusal of all resumptions after a loss of all nodes. */
  @Test
  void streamsThatBeganWhileSeveralVersionsServedAreFoundAfterRestartOfAllNodes() {
    startNewEngine();
    beginStreams(node(0));
    beginStreams(node(1));
    eventLoop.advance(500);
    restartAll(engine("e-old", OLD), engine("e-new", NEW));
    assertEquals(STREAMS, continued(node(2)));
  }

  @Test
  void streamsInProgressWhenAnotherVersionStartedAreFoundAfterRestartOfAllNodes() {
    beginStreams(node(0));
    startNewEngine();
    eventLoop.advance(500);
    restartAll(engine("e-new", NEW));
    eventLoop.advance(2_000);
    assertEquals(STREAMS, continued(node(2)));
  }

  /** The node's first write after its restart must not replace what it wrote before. */
  @Test
  void rowOfEarlierIncarnationIsKept() {
    startNewEngine();
    beginStreams(node(0));
    eventLoop.advance(500);
    restartAll(engine("e-old", OLD), engine("e-new", NEW));
    node(0).begin("after", NEW);
    eventLoop.advance(500);
    restartAll(engine("e-old", OLD), engine("e-new", NEW));
    assertEquals(STREAMS, continued(node(2)));
    assertEquals(NEW, node(3).find("after"));
  }

  @Test
  void streamThatBeginsAfterRestartOfAllNodesIsFound() {
    restartAll(engine("e-old", OLD), engine("e-new", NEW));
    beginStreams(node(0));
    lose(0);
    assertEquals(STREAMS, continued(node(1)));
  }

  /** The last engine of a version leaves shortly before a node that never saw it is asked. */
  @Test
  void versionOfDepartedEnginesIsNotReplacedByThatOfPresentOnes() {
    startNewEngine();
    nodes.forEach(node -> node.remove("e-old"));
    assertEquals("unknown", node(1).find("r"));
    eventLoop.advance(WINDOW_MILLIS);
    assertEquals(NEW, node(1).find("r"));
  }

  @Test
  void peersThatDisagreeLeaveVersionUnknown() {
    for (int i = 1; i < NODES - 2; i++) {
      node(i).put("e-new", NEW);
    }
    assertEquals("unknown", restart(0, engine("e-old", OLD)).find("r"));
  }

  @Test
  void rolloutBackAndForthLeavesVersionUnknownWithoutRecord() {
    startNewEngine();
    eventLoop.advance(2_000);
    nodes.forEach(node -> node.remove("e-new"));
    eventLoop.advance(2_000);
    assertEquals("unknown", node(1).find("r"));
  }

  @Test
  void nodeWithOlderViewFindsRecordOfPeer() {
    for (int i = 0; i < NODES - 1; i++) {
      node(i).put("e-new", NEW);
    }
    Node behind = node(NODES - 1);
    behind.storeAnswers = false;
    beginStreams(node(0));
    lose(0);
    assertEquals(STREAMS, continued(behind));
  }

  @Test
  void nodeWithOlderViewDoesNotTrustItWithoutRecord() {
    for (int i = 0; i < NODES - 1; i++) {
      node(i).put("e-new", NEW);
    }
    Node behind = node(NODES - 1);
    behind.storeAnswers = false;
    assertEquals("unknown", behind.find("r"));
  }

  /** A store that has just recovered confirms an older state. */
  @Test
  void viewConfirmedByStoreThatFailedRecentlyIsComparedWithPeers() {
    for (int i = 0; i < NODES - 1; i++) {
      node(i).put("e-new", NEW);
    }
    Node behind = node(NODES - 1);
    behind.storeFailedRecently = true;
    beginStreams(node(0));
    lose(0);
    assertEquals(STREAMS, continued(behind));
    assertEquals("unknown", behind.find("without-record"));
  }

  @Test
  void isolatedNodeDoesNotTrustItsView() {
    Node isolated = node(0);
    isolated.storeAnswers = false;
    for (int i = 1; i < NODES; i++) {
      network.cut(isolated.address, node(i).address, true);
    }
    assertEquals("unknown", isolated.find("r"));
  }

  @Test
  void onlyVersionIsFoundDuringOutageOfStore() {
    nodes.forEach(node -> node.storeAnswers = false);
    assertEquals(OLD, node(1).find("r"));
  }

  @Test
  void engineThatCameAndWentUnseenLeavesVersionUnknown() {
    nodes.forEach(node -> node.remove("e-never-seen"));
    assertEquals("unknown", node(1).find("r"));
  }

  @Test
  void tableReadAgainLeavesVersionUnknown() {
    for (Node node : nodes) {
      node.engines.replaceAll(List.of(engine("e-old", OLD)), 0, eventLoop.nanoTime());
    }
    assertEquals("unknown", node(1).find("r"));
  }

  @Test
  void versionIsUnknownWhileRestartedEngineHasNoEntry() {
    for (Node node : nodes) {
      node.engines.adoptStartTime(new EngineId("e-old"), 1, eventLoop.nanoTime());
      node.engines.adoptStartTime(new EngineId("e-old"), 2, eventLoop.nanoTime());
    }
    assertEquals("unknown", node(1).find("r"));
    nodes.forEach(node -> node.put("e-old", OLD));
    assertEquals(OLD, node(1).find("r"));
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void lostAndDuplicatedMessagesLeadToNoOtherVersion(long seed) {
    startNewEngine();
    network.lose(0.3, new Random(seed));
    beginStreams(node(0));
    lose(0);
    assertTrue(continued(node(1)) >= STREAMS / 2);
  }

  @Test
  void streamThatNamesNoFirstRequestIsFoundOnlyByOnlyVersion() {
    assertEquals(OLD, node(1).find(null));
    startNewEngine();
    assertEquals("unknown", node(1).find(null));
  }

  @Test
  void restartedNodeAsksPeersForOnlyVersionIfStreamNamesNoFirstRequest() {
    assertEquals(OLD, restart(0, engine("e-old", OLD)).find(null));
    startNewEngine();
    assertEquals("unknown", restart(1, engine("e-old", OLD)).find(null));
  }

  @Test
  void bytesOfNoticesAreLimited() {
    startNewEngine();
    long before = network.sentBytes();
    long startNanos = eventLoop.nanoTime();
    for (int i = 0; i < 5_000; i++) {
      node(0).begin("r" + i, OLD);
      eventLoop.advance(1);
    }
    double seconds = (eventLoop.nanoTime() - startNanos) / 1e9;
    double allowed = 40_960 + seconds * StreamVersionNotifier.BYTES_PER_SECOND;
    assertTrue(network.sentBytes() - before <= allowed);
    assertTrue(node(0).versions.noticesDropped() > 0);
  }

  /** Cuts off the first nodes from all others. */
  private void cutOff(int count) {
    for (int i = 0; i < count; i++) {
      for (int other = count; other < NODES; other++) {
        network.cut(node(i).address, node(other).address, true);
        network.cut(node(other).address, node(i).address, true);
      }
    }
  }

  /** Another version starts, which the first nodes do not see, and streams begin at it. */
  private void beginStreamsUnseenBy(int count) {
    for (int i = 0; i < count; i++) {
      node(i).storeAnswers = false;
    }
    for (int i = count; i < NODES; i++) {
      node(i).put("e-new", NEW);
    }
    for (int i = 0; i < STREAMS; i++) {
      node(NODES - 1).begin("r" + i, NEW);
    }
    eventLoop.advance(10);
  }

  /** Returns how many streams a node continues at the version at which they did not begin. */
  private int continuedAtOldVersion(Node node) {
    return Collections.frequency(foundVersions(node), OLD);
  }

  private List<String> foundVersions(Node node) {
    List<String> found = new ArrayList<>();
    for (int i = 0; i < STREAMS; i++) {
      node.find("r" + i, found);
    }
    eventLoop.advance(500);
    assertEquals(STREAMS, found.size(), "number of answers");
    return found;
  }

  /** Guards against the vote of nodes that have missed the same news, as those of a rack. */
  @ParameterizedTest(name = "{0} of 11 nodes")
  @ValueSource(ints = {1, 2, 3, 4, 5, 6, 10})
  void nodesCutOffTogetherContinueNoStreamAtAnOlderVersion(int count) {
    cutOff(count);
    beginStreamsUnseenBy(count);
    for (int i = 0; i < count; i++) {
      assertEquals(0, continuedAtOldVersion(node(i)), "node " + i);
    }
  }

  /** Guards against the vote of nodes without the store, while the records of a stream are lost. */
  @ParameterizedTest(name = "{0} of 11 nodes, seed {1}")
  @CsvSource({"3, 1", "3, 2", "5, 1", "5, 2", "8, 1", "8, 2", "8, 3"})
  void nodesWithoutTheStoreContinueNoStreamAtAnOlderVersion(int count, long seed) {
    network.lose(0.5, new Random(seed));
    beginStreamsUnseenBy(count);
    lose(NODES - 1);
    for (int i = 0; i < count; i++) {
      assertEquals(0, continuedAtOldVersion(node(i)), "node " + i);
    }
  }

  /** Guards against a store that confirms an old state to a node that has not seen it fail. */
  @Test
  void oldStateThatTheStoreConfirmsIsComparedWithWhatPeersKnow() {
    for (int i = 1; i < NODES; i++) {
      node(i).put("e-new", NEW);
    }
    for (int i = 0; i < STREAMS; i++) {
      node(NODES - 1).begin("r" + i, NEW);
    }
    eventLoop.advance(10);
    assertEquals(Collections.nCopies(STREAMS, NEW), foundVersions(node(0)));
  }

  /** The others must not be refused what the store proves to their peers. */
  @Test
  void nodeWithoutTheStoreContinuesAtTheOnlyVersionThatAPeerProves() {
    node(0).storeAnswers = false;
    assertEquals(OLD, node(0).find("r"));
  }

  /** One of the peers may be the only one that knows another version. */
  @Test
  void onlyVersionIsUnknownDuringOutageOfStoreWhileAPeerDoesNotReply() {
    nodes.forEach(node -> node.storeAnswers = false);
    lose(7);
    assertEquals("unknown", node(1).find("r"));
  }
}
