package org.baykeel.gateway.call;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.baykeel.core.error.ErrorKind;
import org.baykeel.gateway.configuration.RouteKind;
import org.baykeel.gateway.testing.TestingResponder;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Calls at a node whose planned stop closes idle connections after 2 s and ends after 3.5 s. */
class TestCallAtStop {
  private static final long GRACE_MILLIS = 4_000;

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
}
