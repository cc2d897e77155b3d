package org.baykeel.gateway.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import org.baykeel.gateway.directory.Engine;
import org.baykeel.gateway.directory.EngineDirectory;
import org.baykeel.gateway.directory.EngineHealth;
import org.baykeel.gateway.directory.EngineId;
import org.baykeel.gateway.directory.EngineRecord;
import org.baykeel.gateway.storage.RowAddress;
import org.baykeel.gateway.testing.TestingEventLoop;
import org.baykeel.gateway.testing.TestingPeerNetwork;
import org.baykeel.gateway.testing.TestingStore;
import org.baykeel.gateway.topology.Topology;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class TestEngineSuspicionNotifier {
  private static final EngineId ENGINE = new EngineId("e1");

  private final TestingEventLoop eventLoop = new TestingEventLoop();
  private final TestingStore store = new TestingStore(eventLoop);
  private final TestingPeerNetwork network = new TestingPeerNetwork(eventLoop);

  /** A node with its own engine directory and peer directory. */
  private final class Node {
    private final PeerAddress address;
    private final EngineDirectory engines = new EngineDirectory(1);
    private final PeerDirectory peers;

    Node(String name, int port) {
      address = new PeerAddress("10.0.0.1", port);
      PeerMessageCodec codec = new PeerMessageCodec();
      PeerTransport transport = network.transportOf(address);
      peers =
          new PeerDirectory(
              name,
              address,
              store,
              eventLoop,
              transport,
              codec,
              Topology.ofOneRegion("z"),
              (event, fields) -> {});
      EngineSuspicionNotifier notifier =
          new EngineSuspicionNotifier(
              engines, peers, transport, codec, eventLoop, (event, fields) -> {});
      engines.put(new EngineRecord(ENGINE.value(), "s", "10.0.0.9", 80, "z", 4, false));
      engines.onSuspicion(notifier);
      network.attach(address, new PeerMessageDispatcher(codec, peers, List.of(notifier)));
    }

    Engine engine() {
      return engines.find(ENGINE);
    }

    void failTwice() {
      engine().failed(eventLoop.nanoTime());
      engine().failed(eventLoop.nanoTime());
    }

    EngineHealth health() {
      return engine().health(eventLoop.nanoTime());
    }
  }

  private Node started(String name, int port) {
    Node node = new Node(name, port);
    node.peers.join();
    return node;
  }

  @ParameterizedTest(name = "{0} ms after another node suspected the engine: {1}")
  @CsvSource({"1, HEALTHY", "3, SUSPECT", "1400, SUSPECT", "1600, HEALTHY"})
  void peersSuspectAnEngineAfterANoticeForALimitedTime(long millis, EngineHealth expected) {
    Node first = started("first", 1);
    Node second = started("second", 2);
    eventLoop.advance(2_000);
    first.failTwice();
    eventLoop.advance(millis);
    assertEquals(expected, second.health());
  }

  @Test
  void aSingleFailureIsNotReportedToPeers() {
    Node first = started("first", 1);
    Node second = started("second", 2);
    eventLoop.advance(2_000);
    first.engine().failed(eventLoop.nanoTime());
    first.engine().succeeded();
    first.engine().failed(eventLoop.nanoTime());
    eventLoop.advance(10);
    assertEquals(EngineHealth.HEALTHY, second.health());
  }

  @ParameterizedTest(name = "reported {0} times, {1} ms after the last report: {2}")
  @CsvSource({
    "1, 1600, HEALTHY",
    "2, 2900, SUSPECT",
    "2, 3100, HEALTHY",
    "3, 5900, SUSPECT",
    "3, 6100, HEALTHY",
  })
  void repeatedNoticesAboutAnEngineExtendItsSuspicion(
      int notices, long millis, EngineHealth expected) {
    Node second = started("second", 2);
    eventLoop.advance(2_000);
    byte[] notice = new PeerMessageCodec().encode(new PeerMessage.EngineSuspicion(ENGINE));
    PeerTransport sender = network.transportOf(new PeerAddress("10.0.0.1", 1));
    for (int i = 0; i < notices; i++) {
      eventLoop.advance(7_000);
      sender.send(second.address, notice);
      sender.send(second.address, notice);
    }
    eventLoop.advance(millis);
    assertEquals(expected, second.health());
  }

  @Test
  void aNodeThatStartsLaterReceivesNotices() {
    Node first = started("first", 1);
    eventLoop.advance(5_000);
    Node later = started("later", 2);
    eventLoop.advance(2_000);
    first.failTwice();
    eventLoop.advance(10);
    assertEquals(EngineHealth.SUSPECT, later.health());
  }

  @Test
  void aPeersNoticeIsNeitherForwardedNorPenalized() {
    Node first = started("first", 1);
    Node second = started("second", 2);
    Node third = started("third", 3);
    eventLoop.advance(2_000);
    long before = network.sentBytes();
    first.failTwice();
    long oneNotice = network.sentBytes() - before;
    eventLoop.advance(100);
    assertEquals(before + oneNotice, network.sentBytes(), "notices must not be forwarded");
    assertEquals(0, EngineHealth.SUSPECT.penaltyMillis(true, 100));
    assertEquals(second.health(), third.health());
  }

  @Test
  void peersFindEachOtherOnceTheStoreIsAvailable() {
    store.fault(TestingStore.Fault.REFUSE);
    Node first = started("first", 1);
    Node second = started("second", 2);
    eventLoop.advance(4_000);
    store.fault(TestingStore.Fault.NONE);
    eventLoop.advance(3_000);
    assertEquals(List.of(second.address), List.copyOf(first.peers.peers()));
    assertEquals(List.of(first.address), List.copyOf(second.peers.peers()));
  }

  @Test
  void sentBytesStayWithinTheRateLimitUnderManyFailures() {
    int peers = 400;
    List<Node> nodes = new ArrayList<>();
    for (int i = 0; i <= peers; i++) {
      nodes.add(new Node("n" + i, i + 1));
    }
    Node first = nodes.get(0);
    nodes.subList(1, nodes.size()).forEach(node -> first.peers.onSender(node.address));
    for (int i = 0; i < 100; i++) {
      EngineRecord record = new EngineRecord("f" + i, "s", "10.0.0.9", 80, "z", 4, false);
      first.engines.put(record);
      Engine engine = first.engines.find(new EngineId("f" + i));
      engine.failed(eventLoop.nanoTime());
      engine.failed(eventLoop.nanoTime());
      eventLoop.advance(100);
    }
    long limitForTenSeconds = 40_960 + 10 * 8_192;
    assertTrue(network.sentBytes() > 0);
    assertTrue(network.sentBytes() <= limitForTenSeconds, "sent " + network.sentBytes());
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "00", "0000000000000000", "02003d00c6020000ff7f", "0000ffffc6020000"})
  void invalidDatagramsAreRejected(String hex) {
    assertEquals(Optional.empty(), new PeerMessageCodec().decode(HexFormat.of().parseHex(hex)));
  }

  @Test
  void anAnnouncementOfAnOlderVersionDecodesWithoutAZone() {
    byte[] older = HexFormat.of().parseHex("00003c00c6020000");
    assertEquals(
        Optional.of(new PeerMessage.NodeAnnouncement("")), new PeerMessageCodec().decode(older));
  }

  @Test
  void messagesDecodeAsTheyWereEncoded() {
    PeerMessageCodec codec = new PeerMessageCodec();
    for (PeerMessage message :
        List.of(new PeerMessage.NodeAnnouncement("z"), new PeerMessage.EngineSuspicion(ENGINE))) {
      assertEquals(Optional.of(message), codec.decode(codec.encode(message)));
    }
  }

  @Test
  void aPlannedStopRemovesOnlyTheRowOfItsOwnRun() {
    RowAddress row = new RowAddress("node", "", "first");
    Node before = started("first", 1);
    eventLoop.advance(2_000);
    assertEquals("10.0.0.1:1 z", new String(store.value(row), StandardCharsets.US_ASCII));
    Node next = started("first", 1);
    eventLoop.advance(2_000);
    before.peers.leave();
    eventLoop.advance(100);
    assertNotNull(store.value(row));
    next.peers.leave();
    eventLoop.advance(100);
    assertNull(store.value(row));
  }
}
