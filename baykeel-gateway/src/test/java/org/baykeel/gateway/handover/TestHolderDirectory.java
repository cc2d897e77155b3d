package org.baykeel.gateway.handover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.baykeel.gateway.peer.PeerAddress;
import org.baykeel.gateway.peer.PeerDirectory;
import org.baykeel.gateway.peer.PeerMessageCodec;
import org.baykeel.gateway.peer.PeerMessageDispatcher;
import org.baykeel.gateway.peer.PeerTransport;
import org.baykeel.gateway.program.ProgramId;
import org.baykeel.gateway.testing.TestingEventLoop;
import org.baykeel.gateway.testing.TestingPeerNetwork;
import org.baykeel.gateway.testing.TestingStore;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class TestHolderDirectory {
  private static final int NODES = 5;
  private static final int PROGRAMS = 40;

  private final TestingEventLoop eventLoop = new TestingEventLoop();
  private final TestingStore store = new TestingStore(eventLoop);
  private final TestingPeerNetwork network = new TestingPeerNetwork(eventLoop);
  private final List<PeerAddress> addresses = new ArrayList<>();
  private final List<HolderDirectory> nodes = new ArrayList<>();

  private void startAll() {
    for (int i = 0; i < NODES; i++) {
      PeerAddress address = new PeerAddress("10.0.0." + i, 7_000);
      PeerMessageCodec codec = new PeerMessageCodec();
      PeerTransport transport = network.transportOf(address);
      PeerDirectory peers =
          new PeerDirectory(
              "n" + i, address, store, eventLoop, transport, codec, (event, fields) -> {});
      HolderDirectory holders = new HolderDirectory(address, peers, transport, codec, eventLoop);
      network.attach(address, new PeerMessageDispatcher(codec, peers, List.of(holders)));
      peers.join();
      addresses.add(address);
      nodes.add(holders);
    }
    eventLoop.advance(5_000);
  }

  private Optional<PeerAddress> locate(int node, ProgramId program) {
    List<Optional<PeerAddress>> answers = new ArrayList<>();
    nodes.get(node).locate(program, answers::add);
    eventLoop.advance(30);
    assertEquals(1, answers.size(), "one answer");
    return answers.get(0);
  }

  @Test
  void everyNodeFindsWhoServedAProgramLast() {
    startAll();
    for (int i = 0; i < PROGRAMS; i++) {
      ProgramId program = new ProgramId("p" + i);
      nodes.get(i % NODES).announce(program);
      eventLoop.advance(10);
      nodes.get((i + 1) % NODES).announce(program);
      eventLoop.advance(10);
      PeerAddress holder = addresses.get((i + 1) % NODES);
      for (int node = 0; node < NODES; node++) {
        boolean itself = addresses.get(node).equals(holder);
        assertEquals(itself ? Optional.empty() : Optional.of(holder), locate(node, program));
      }
    }
  }

  @Test
  void aProgramThatNobodyServedHasNoHolder() {
    startAll();
    for (int node = 0; node < NODES; node++) {
      assertEquals(Optional.empty(), locate(node, new ProgramId("new")));
    }
  }

  @Test
  void aRegistrarThatIsGoneCostsOneShortWaitAndIsThenLeftAlone() {
    startAll();
    network.detach(addresses.get(4));
    int waited = 0;
    for (int i = 0; i < PROGRAMS; i++) {
      List<Optional<PeerAddress>> answers = new ArrayList<>();
      nodes.get(0).locate(new ProgramId("p" + i), answers::add);
      eventLoop.advance(10);
      waited += answers.isEmpty() ? 1 : 0;
      eventLoop.advance(20);
      assertEquals(List.of(Optional.empty()), answers);
    }
    assertTrue(waited <= 1, waited + " waits");
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 129, 5_000})
  void anIdentifierThatDoesNotFitADatagramIsLeftOut(int length) {
    startAll();
    ProgramId program = new ProgramId("x".repeat(length));
    nodes.get(1).announce(program);
    assertEquals(Optional.empty(), locate(0, program));
  }
}
