package org.baykeel.gateway.call;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.baykeel.gateway.buffering.ResponseBytesLimiter;
import org.baykeel.gateway.history.ConversationBounds;
import org.baykeel.gateway.testing.TestingResponder;
import org.baykeel.gateway.testing.TestingStore.Fault;
import org.baykeel.gateway.testing.TestingTransport.Sent;
import org.junit.jupiter.api.Test;

/** Guards against outputs of turns that fill the memory of a node until the turns are stored. */
class TestStoredOutput {
  private static final int RESPONSE_BYTES = 1_000;
  private static final int NODE_BYTES = 2_500;

  private final SingleRouteNode node =
      SingleRouteNode.retaining(
          ConversationBounds.ofNode(1 << 20),
          new ResponseBytesLimiter.Bounds(RESPONSE_BYTES, RESPONSE_BYTES, NODE_BYTES));
  private final List<TestingResponder> responders = new ArrayList<>();
  private int events;

  private Sent turn() {
    TestingResponder responder = new TestingResponder();
    responders.add(responder);
    node.call(responder, "t" + responders.size(), null, 1);
    return node.transport().last().stream();
  }

  private void event(Sent sent, int bytes) {
    events++;
    sent.bytes("id: " + events + "\ndata: " + "x".repeat(bytes - 1) + "\n\n");
  }

  private long aborted() {
    return responders.stream().filter(responder -> responder.received().contains("abort")).count();
  }

  @Test
  void outputsOfAllTurnsAreLimitedTogether() {
    List<Sent> turns = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      turns.add(turn());
    }
    for (int i = 0; i < turns.size(); i++) {
      event(turns.get(i), 700 + i);
      assertTrue(node.responseBytes().totalBytes() <= NODE_BYTES);
    }
    assertEquals(1, aborted());
    assertEquals(List.of(false, false, false, true), turns.stream().map(Sent::cancelled).toList());
  }

  @Test
  void outputsOfTurnsThatWaitForTheStoreCount() {
    node.store().fault(Fault.REFUSE);
    for (int i = 0; i < 4; i++) {
      Sent sent = turn();
      event(sent, 703 - i);
      sent.complete();
    }
    assertEquals(1, aborted());
    assertEquals(702 + 701 + 700, node.responseBytes().totalBytes());
    node.store().fault(Fault.NONE);
    node.eventLoop().advance(500);
    assertEquals(
        3, responders.stream().filter(responder -> responder.received().contains("end")).count());
    assertEquals(0, node.responseBytes().totalBytes());
  }

  @Test
  void singleOutputIsLimited() {
    Sent sent = turn();
    event(sent, 600);
    event(sent, 500);
    assertTrue(sent.cancelled());
    assertEquals(0, node.responseBytes().totalBytes());
  }
}
