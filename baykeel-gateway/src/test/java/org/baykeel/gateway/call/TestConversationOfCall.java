package org.baykeel.gateway.call;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.Consumer;
import org.baykeel.core.error.ErrorKind;
import org.baykeel.gateway.history.ConversationBounds;
import org.baykeel.gateway.testing.TestingResponder;
import org.baykeel.gateway.testing.TestingStore.Fault;
import org.baykeel.gateway.testing.TestingTransport.Sent;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against a conversation that stays in memory although its call needs it no more. */
class TestConversationOfCall {
  private static final int INPUT_BYTES = 20_000;
  private static final long TURN_BYTES = INPUT_BYTES + "d1\n".length();

  /** One conversation of two turns fits. */
  private static final ConversationBounds BOUNDS = ConversationBounds.ofNode(4 * INPUT_BYTES);

  private final SingleRouteNode node = SingleRouteNode.retaining(BOUNDS);
  private final TestingResponder responder = new TestingResponder();

  /** The ways in which a call ends. */
  enum End {
    COMPLETE(run -> run.sent.stream().event(1).complete()),
    CALLER_LEFT(run -> run.call.callerDisconnected()),
    CALLER_LEFT_IN_STREAM(
        run -> {
          run.sent.stream().event(1);
          run.call.callerDisconnected();
        }),
    CALLER_LEFT_WHILE_THE_TURN_IS_STORED(
        run -> {
          run.node.store().fault(Fault.REFUSE);
          run.sent.stream().event(1).complete();
          run.call.callerDisconnected();
        }),
    DEADLINE(run -> run.node.eventLoop().advance(4_000)),
    NODE_STOPS(run -> run.call.endForStop()),
    ENGINE_FAILED(run -> run.sent.stream().event(1).breakConnection()),
    ENGINE_ERROR(run -> run.sent.head(500, true, false, false).complete()),
    ENGINE_CHECKED_AFTER_LOST_CONNECTION(run -> run.sent.loseConnection()),
    ANSWERED_BEFORE_THE_BODY_WAS_READ(run -> run.sent.head(400, true, false, false).complete()),
    STORE_REFUSED(
        run -> {
          run.node.store().fault(Fault.REFUSE);
          run.sent.stream().event(1).complete();
        });

    private final Consumer<Run> end;

    End(Consumer<Run> end) {
      this.end = end;
    }
  }

  /** A call whose request was sent. */
  private record Run(SingleRouteNode node, ClientCall call, Sent sent) {}

  @BeforeEach
  void storeTurn() {
    node.call(new TestingResponder(), "t1", null, INPUT_BYTES);
    node.transport().last().stream().event(1).complete();
    node.eventLoop().advance(100);
  }

  private void storeTurnThatEvictsOthers() {
    node.call(new TestingResponder(), "u1", null, 4 * INPUT_BYTES - 100);
    node.transport().last().stream().event(1).complete();
    node.eventLoop().advance(100);
  }

  private Run continued() {
    ClientCall call = node.call(responder, "t2", "t1", INPUT_BYTES);
    node.eventLoop().advance(1);
    return new Run(node, call, node.transport().last());
  }

  @ParameterizedTest
  @EnumSource
  void nothingIsHeldAfterTheCall(End end) {
    Run run = continued();
    assertEquals(TURN_BYTES, node.history().heldBytes());
    end.end.accept(run);
    node.eventLoop().advance(4_000);
    assertEquals(0, node.history().heldBytes());
    assertEquals(0, node.history().writingBytes());
    assertEquals(0, node.responseBytes().totalBytes());
    assertThrows(IllegalStateException.class, () -> run.sent.request().body().parts());
  }

  @Test
  void nothingIsHeldWhileTheTurnWaitsForTheStore() {
    Run run = continued();
    node.store().fault(Fault.REFUSE);
    run.sent.stream().event(1).complete();
    node.eventLoop().advance(500);
    assertEquals(List.of("begin", "id: 1 data: d1"), responder.received());
    assertEquals(0, node.history().heldBytes());
    assertEquals("d1\n".length(), node.responseBytes().totalBytes());
    node.store().fault(Fault.NONE);
    node.eventLoop().advance(200);
    assertEquals(List.of("begin", "id: 1 data: d1", "end"), responder.received());
  }

  @Test
  void nothingIsHeldOnceTheEngineHasTheBodyAndResponds() {
    Run run = continued();
    run.sent.stream();
    assertEquals(0, node.history().heldBytes());
  }

  @Test
  void conversationIsHeldWhileTheEngineHasNotReadIt() {
    Run run = continued();
    run.sent.bodyUnread().stream().event(1);
    assertEquals(TURN_BYTES, node.history().heldBytes());
    run.sent.complete();
    assertEquals(0, node.history().heldBytes());
  }

  @Test
  void conversationIsHeldForTheNextAttempt() {
    Run run = continued();
    run.sent.notExecuted();
    node.eventLoop().advance(100);
    assertEquals(2, node.transport().count() - 1);
    assertEquals(run.sent.body(), node.transport().last().body());
    assertEquals(TURN_BYTES, node.history().heldBytes());
  }

  @Test
  void callThatEndsBeforeItsConversationIsFoundHoldsNothing() {
    storeTurnThatEvictsOthers();
    node.store().failReads(true);
    ClientCall call = node.call(responder, "t2", "t1", INPUT_BYTES);
    node.eventLoop().advance(100);
    call.callerDisconnected();
    node.store().failReads(false);
    node.eventLoop().advance(2_000);
    assertEquals(0, node.history().heldBytes());
  }

  @Test
  void turnBeyondTheMemoryIsRefusedAsNotRun() {
    node.call(new TestingResponder(), "u1", null, 2 * INPUT_BYTES);
    node.transport().last().stream().event(1).complete();
    node.eventLoop().advance(100);
    continued();
    int sends = node.transport().count();
    TestingResponder refused = new TestingResponder();
    node.call(refused, "u2", "u1", INPUT_BYTES);
    node.eventLoop().advance(1_990);
    assertEquals(List.of(), refused.received());
    node.eventLoop().advance(20);
    assertEquals(sends, node.transport().count());
    assertEquals(ErrorKind.OVERLOADED, refused.refusal().kind());
    assertTrue(refused.refusal().retryAfterMillis() > 0);
    assertTrue(refused.refusal().detail().contains(" bytes"), refused.refusal().detail());
  }

  @Test
  void conversationLongerThanANodeCanHoldIsRefusedForGood() {
    node.call(new TestingResponder(), "u1", null, 4 * INPUT_BYTES);
    node.transport().last().stream().event(1).complete();
    node.eventLoop().advance(100);
    node.call(responder, "u2", "u1", INPUT_BYTES);
    node.eventLoop().advance(100);
    assertEquals(ErrorKind.TOO_LARGE, responder.refusal().kind());
  }
}
