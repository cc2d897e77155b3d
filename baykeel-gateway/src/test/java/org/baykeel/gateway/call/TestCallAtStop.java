package org.baykeel.gateway.call;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.baykeel.core.error.ErrorKind;
import org.baykeel.gateway.configuration.RouteKind;
import org.baykeel.gateway.testing.TestingResponder;
import org.baykeel.gateway.testing.TestingTransport.Sent;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Calls at a node whose planned stop closes idle connections after 2 s and ends after 3.5 s. */
class TestCallAtStop {
  private static final long GRACE_MILLIS = 4_000;
  private static final long END_MILLIS = 3_500;
  private static final double USUAL_MILLIS = 500;

  private final SingleRouteNode node = new SingleRouteNode(RouteKind.UNSAFE, false);
  private final TestingResponder responder = new TestingResponder();

  /** Guards against a request that a stopping node accepts and cuts off before its deadline. */
  @ParameterizedTest(name = "received after {0} ms, deadline {1} ms: sent {2}")
  @CsvSource({
    "0, 3000, true",
    "1990, 3000, true",
    "2010, 3000, false",
    "2010, 1480, true",
    "2010, 1500, false",
    "3000, 490, true",
  })
  void onlyARequestThatEndsBeforeTheProcessIsAcceptedOnceIdleConnectionsAreClosed(
      long receivedMillis, long deadlineMillis, boolean sent) {
    node.stop(GRACE_MILLIS);
    node.eventLoop().advance(receivedMillis);
    node.callWaiting(responder, deadlineMillis);
    assertEquals(sent ? 1 : 0, node.transport().count());
    if (!sent) {
      assertEquals(ErrorKind.STOPPING, responder.refusal().kind());
      assertTrue(responder.refusal().retryAfterMillis() > 0);
    }
  }

  /** Guards against a call that gets no response when the process ends. */
  @ParameterizedTest(name = "{0}, {1}: {2}")
  @CsvSource({
    "UNSAFE, at an engine, refuse OUTCOME_UNKNOWN",
    "SAFE, at an engine, refuse BACKEND_FAILED",
    "UNSAFE, waits for capacity, refuse STOPPING",
    "SAFE, waits for capacity, refuse STOPPING",
    "STREAMING, at an engine, refuse OUTCOME_UNKNOWN",
  })
  void aCallInProgressIsAnsweredBeforeTheProcessEnds(
      RouteKind kind, String progress, String expected) {
    SingleRouteNode busyNode = new SingleRouteNode(kind, false);
    ClientCall call = busyNode.call(responder);
    Sent sent = busyNode.transport().last();
    if (progress.startsWith("waits")) {
      sent.notExecuted();
    }
    call.endForStop();
    assertEquals(List.of(expected), responder.received());
    assertEquals(progress.startsWith("at"), sent.cancelled());
    busyNode.eventLoop().advance(10_000);
    assertEquals(1, busyNode.transport().count());
  }

  @Test
  void aStreamThatHasBegunIsCutWhenTheProcessEnds() {
    SingleRouteNode streamingNode = new SingleRouteNode(RouteKind.STREAMING, false);
    ClientCall call = streamingNode.call(responder);
    streamingNode.transport().last().stream().event(1);
    call.endForStop();
    assertEquals(List.of("begin", "id: 1 data: d1", "abort"), responder.received());
  }

  /**
   * Guards against a request that waits for capacity and is sent to an engine so late that the end
   * of the process cuts it off.
   */
  @Test
  void aRequestThatWaitsIsRefusedOnceNoResponseIsExpectedBeforeTheProcessEnds() {
    for (int i = 0; i < 500; i++) {
      node.engine().performance().observeNonStream(USUAL_MILLIS);
    }
    node.stop(GRACE_MILLIS);
    node.eventLoop().advance(1_900);
    node.call(responder);
    int refused = 0;
    long lastSentMillis = 0;
    for (long millis = 1_900; responder.refusal() == null && millis < 5_000; millis += 10) {
      if (node.transport().count() > refused) {
        refused++;
        lastSentMillis = millis;
        node.transport().last().notExecuted();
      }
      node.eventLoop().advance(10);
    }
    assertEquals(ErrorKind.STOPPING, responder.refusal().kind());
    assertTrue(refused > 1, "sent " + refused + " times");
    assertTrue(lastSentMillis <= END_MILLIS - 0.99 * USUAL_MILLIS, "sent at " + lastSentMillis);
  }
}
