package org.baykeel.gateway.call;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.baykeel.core.error.ErrorKind;
import org.baykeel.gateway.configuration.RouteKind;
import org.baykeel.gateway.quarantine.Verdict;
import org.baykeel.gateway.testing.TestingQuarantine;
import org.baykeel.gateway.testing.TestingResponder;
import org.baykeel.gateway.testing.TestingTransport.Sent;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a request that is sent to an engine, or held, although engines end under it. */
class TestQuarantinedCall {
  private final TestingQuarantine quarantine = new TestingQuarantine();
  private final SingleRouteNode node = new SingleRouteNode(RouteKind.STREAMING, true, quarantine);
  private final TestingResponder responder = new TestingResponder();

  @BeforeEach
  void startEngines() {
    for (int i = 0; i < 5; i++) {
      node.putEngine("e" + i, "v1", false);
    }
  }

  private Sent last() {
    return node.transport().last();
  }

  @Test
  void fatalRequestIsRefusedAtOnceWithoutRetryDelay() {
    quarantine.verdict(Verdict.FATAL);
    node.call(responder);
    assertEquals(0, node.transport().count());
    assertEquals(ErrorKind.REQUEST_QUARANTINED, responder.refusal().kind());
    assertEquals(0, responder.refusal().retryAfterMillis());
  }

  /** Guards against a send while three engines may still end under the request. */
  @Test
  void heldRequestIsRefusedAtOnceWithTimeOfItsReturn() {
    quarantine.verdict(Verdict.HELD);
    node.call(responder);
    assertEquals(0, node.transport().count());
    assertEquals(ErrorKind.REQUEST_HELD, responder.refusal().kind());
    assertEquals(1_000, responder.refusal().retryAfterMillis());
  }

  @Test
  void heldRequestThatRanIsNotReportedAsNotRun() {
    node.call(responder);
    last().loseConnection();
    quarantine.verdict(Verdict.HELD);
    quarantine.endChecks();
    assertEquals(1, node.transport().count());
    assertEquals(ErrorKind.BACKEND_FAILED, responder.refusal().kind());
  }

  @Test
  void requestThatRanIsNotReportedAsNotRun() {
    node.call(responder);
    last().loseConnection();
    quarantine.verdict(Verdict.FATAL);
    quarantine.endChecks();
    assertEquals(1, node.transport().count());
    assertEquals(ErrorKind.ENGINES_ENDED, responder.refusal().kind());
  }

  /** A caller's next try may reach another node before that node learns of the end. */
  @Test
  void nextSendAndResponseWaitForCheckOfEngine() {
    node.call(responder);
    last().loseConnection();
    node.eventLoop().advance(100);
    assertEquals(1, node.transport().count());
    assertEquals(List.of(), responder.received());
    quarantine.endChecks();
    assertEquals(2, node.transport().count());
  }

  @Test
  void callThatEndedDuringCheckIsNotSentAgain() {
    node.call(responder);
    last().loseConnection();
    node.eventLoop().advance(4_000);
    assertEquals(List.of("refuse DEADLINE_PASSED"), responder.received());
    quarantine.endChecks();
    assertEquals(1, node.transport().count());
  }

  @Test
  void streamThatBeganIsCutIfItsRequestIsFatal() {
    node.call(responder);
    last().stream().event(1);
    last().loseConnection();
    quarantine.verdict(Verdict.FATAL);
    quarantine.endChecks();
    assertEquals(List.of("begin", "id: 1 data: d1", "abort"), responder.received());
    assertEquals(1, node.transport().count());
  }

  @Test
  void unusableResponseDoesNotBlameRequest() {
    node.call(responder);
    last().breakConnection();
    assertEquals(2, node.transport().count());
    assertEquals(0, quarantine.lost().size());
  }

  @Test
  void undecidedRequestWaitsForVerdict() {
    quarantine.verdict(Verdict.UNDECIDED);
    node.call(responder);
    node.eventLoop().advance(200);
    assertEquals(0, node.transport().count());
    quarantine.verdict(Verdict.CLEAR);
    node.eventLoop().advance(50);
    assertEquals(1, node.transport().count());
  }

  @Test
  void undecidedRequestIsNotSentAfterItsDeadline() {
    quarantine.verdict(Verdict.UNDECIDED);
    node.call(responder);
    node.eventLoop().advance(4_000);
    quarantine.verdict(Verdict.CLEAR);
    node.eventLoop().advance(100);
    assertEquals(0, node.transport().count());
  }

  @Test
  void waitingRequestIsRefusedOnceItIsFatal() {
    node.call(responder);
    for (int sends = 0; sends < node.transport().count(); sends++) {
      last().notExecuted();
    }
    int sends = node.transport().count();
    assertEquals(List.of(), responder.received());
    quarantine.verdict(Verdict.FATAL);
    assertEquals(List.of("refuse REQUEST_QUARANTINED"), responder.received());
    node.eventLoop().advance(5_000);
    assertEquals(sends, node.transport().count());
  }

  @Test
  void suspectGoesToFirstPreferredEngineThatTakesIt() {
    quarantine.verdict(Verdict.SUSPECT);
    node.putEngine("e3", "v1", true);
    quarantine.prefer("e3", "e2");
    node.call(responder);
    assertEquals("e2", last().engineId());
  }

  @Test
  void suspectWithoutPreferredEngineGoesToAnyOther() {
    quarantine.verdict(Verdict.SUSPECT);
    quarantine.prefer("gone");
    node.call(responder);
    assertEquals(1, node.transport().count());
  }

  @Test
  void completedSuspectIsReported() {
    quarantine.verdict(Verdict.SUSPECT);
    node.call(responder);
    last().stream().event(1).complete();
    assertEquals(1, quarantine.completed().size());
  }

  @Test
  void resumedStreamHasFingerprintOfItsBegin() {
    node.call(new TestingResponder());
    last().stream().event(1).loseConnection();
    node.resume(responder, "i");
    last().loseConnection();
    assertEquals(1, quarantine.lost().size());
  }
}
