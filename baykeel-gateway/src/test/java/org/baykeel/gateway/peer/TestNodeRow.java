package org.baykeel.gateway.peer;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.baykeel.gateway.storage.RangeRead;
import org.baykeel.gateway.storage.ReadOutcome;
import org.baykeel.gateway.storage.RowAddress;
import org.baykeel.gateway.storage.StoredRow;
import org.baykeel.gateway.storage.Transaction;
import org.baykeel.gateway.testing.RecordedBytes;
import org.baykeel.gateway.testing.TestingEventLoop;
import org.baykeel.gateway.testing.TestingPeerNetwork;
import org.baykeel.gateway.testing.TestingStore;
import org.baykeel.gateway.topology.Locality;
import org.baykeel.gateway.topology.Topology;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks the stored rows in which nodes publish their addresses and zones. */
class TestNodeRow {
  private static final byte[] RECORDED = new RecordedBytes("rows.hex").named("node");
  private static final PeerAddress NODE = new PeerAddress("10.1.0.38", 7380);

  private final TestingEventLoop eventLoop = new TestingEventLoop();
  private final TestingStore store = new TestingStore(eventLoop);
  private final TestingPeerNetwork network = new TestingPeerNetwork(eventLoop);

  private PeerDirectory directory(String name, PeerAddress address) {
    return new PeerDirectory(
        name,
        address,
        store,
        eventLoop,
        network.transportOf(address),
        new PeerMessageCodec(),
        Topology.ofOneRegion("hall"),
        (event, fields) -> {});
  }

  private PeerDirectory joined(String name, PeerAddress address) {
    PeerDirectory peers = directory(name, address);
    peers.join();
    eventLoop.advance(1_000);
    return peers;
  }

  @Test
  void readsTheRowOfTheVersionInProduction() {
    RowAddress address = new RowAddress("node", "", "front-1");
    List<Transaction.Put> puts = List.of(new Transaction.Put(address, RECORDED));
    store.transact(new Transaction(List.of(), puts, List.of()), outcome -> {});
    eventLoop.advance(1_000);
    PeerDirectory peers = joined("front-2", new PeerAddress("10.1.0.39", 7380));
    assertEquals(List.of(NODE), List.copyOf(peers.peers()));
    assertEquals(Locality.SAME_ZONE, peers.localityOf(NODE));
  }

  /** Guards against a row that keeps the nodes behind it from being announced to. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "10.1.0.9:65536 hall",
        "10.1.0.9:-1 hall",
        "10.1.0.9:0 hall",
        "10.1.0.9: hall",
        "no-such-host.invalid:7380 hall",
        "999.1.1.1:7380 hall",
        "[::1:7380 hall",
        ":7380",
        " ",
        "",
        "{\"address\":\"10.1.0.9:7380\"}"
      })
  void oddRowLeavesTheOtherRowsInUse(String row) {
    byte[] value = row.getBytes(StandardCharsets.UTF_8);
    store.put(new RowAddress("node", "", "front-0"), value);
    store.put(new RowAddress("node", "", "front-1"), RECORDED);
    PeerDirectory peers = joined("front-2", new PeerAddress("10.1.0.39", 7380));
    assertEquals(List.of(NODE), List.copyOf(peers.peers()));
    assertEquals(true, peers.peersIfLoaded().isPresent());
  }

  @Test
  void writesTheRowOfTheVersionInProduction() {
    joined("front-1", NODE);
    List<StoredRow> rows = new ArrayList<>();
    store.read(
        new RangeRead("node", "", null, 10),
        outcome -> rows.addAll(((ReadOutcome.Rows) outcome).rows()));
    eventLoop.advance(1_000);
    assertArrayEquals(RECORDED, rows.get(0).value());
  }

  /** Guards against the row of a node that was stopped during its start staying for good. */
  @ParameterizedTest(name = "stopped {0} ms after its start")
  @ValueSource(ints = {0, 499, 501, 504, 600, 2_000})
  void aNodeThatIsStoppedDuringItsStartLeavesNoRow(int millis) {
    PeerDirectory peers = directory("front-1", NODE);
    peers.join();
    eventLoop.advance(millis);
    peers.leave();
    eventLoop.advance(10_000);
    assertEquals(0, store.count("node"));
  }

  /** Guards against a stopped node that writes its row once the store responds again. */
  @Test
  void aNodeThatIsStoppedWhileTheStoreRefusesLeavesNoRow() {
    store.fault(TestingStore.Fault.REFUSE);
    PeerDirectory peers = joined("front-1", NODE);
    peers.leave();
    store.fault(TestingStore.Fault.NONE);
    eventLoop.advance(10_000);
    assertEquals(0, store.count("node"));
  }
}
