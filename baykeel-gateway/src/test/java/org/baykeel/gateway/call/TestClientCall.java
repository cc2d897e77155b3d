package org.baykeel.gateway.call;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import org.baykeel.core.error.ErrorKind;
import org.baykeel.gateway.admission.ProgramAdmission;
import org.baykeel.gateway.budget.GrantIds;
import org.baykeel.gateway.budget.GrantSource;
import org.baykeel.gateway.budget.ProgramBudgets;
import org.baykeel.gateway.configuration.Backend;
import org.baykeel.gateway.configuration.GatewayConfiguration;
import org.baykeel.gateway.configuration.RequestLimits;
import org.baykeel.gateway.configuration.Route;
import org.baykeel.gateway.configuration.RouteKind;
import org.baykeel.gateway.configuration.ServiceProfile;
import org.baykeel.gateway.directory.EngineDirectory;
import org.baykeel.gateway.directory.EngineId;
import org.baykeel.gateway.directory.EngineRecord;
import org.baykeel.gateway.fairness.AdmissionShares;
import org.baykeel.gateway.residency.Residency;
import org.baykeel.gateway.storage.StoreHealth;
import org.baykeel.gateway.testing.TestingContext;
import org.baykeel.gateway.testing.TestingEventLoop;
import org.baykeel.gateway.testing.TestingResponder;
import org.baykeel.gateway.testing.TestingStore;
import org.baykeel.gateway.testing.TestingStore.Fault;
import org.baykeel.gateway.testing.TestingTransport;
import org.baykeel.gateway.testing.TestingTransport.Sent;
import org.baykeel.gateway.urgency.ProgramUrgency;
import org.baykeel.gateway.urgency.UrgencyLevel;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class TestClientCall {
  private static final long TIMEOUT_MILLIS = 3_000;
  private static final int TOKENS_PER_EVENT = 25;

  private final TestingEventLoop eventLoop = new TestingEventLoop();
  private final TestingStore store = new TestingStore(eventLoop);
  private final TestingTransport transport = new TestingTransport();
  private final TestingResponder responder = new TestingResponder();
  private final StoreHealth storeHealth = new StoreHealth();
  private final EngineDirectory engines = new EngineDirectory(1_500_000_000L);
  private final GatewayState state =
      new GatewayState(eventLoop, storeHealth, engines, (event, fields) -> {});
  private final ProgramAdmission admission =
      new ProgramAdmission(engines, new Random(1), AdmissionShares.EVEN, (event, fields) -> {});
  private GatewayContext context;

  @BeforeEach
  void startNode() {
    storeHealth.answered(eventLoop.nanoTime());
    for (int i = 0; i < 3; i++) {
      engines.put(new EngineRecord("e" + i, "s", "10.0.0." + i, 80, "z", 8, false));
    }
    context =
        new TestingContext(eventLoop, state, engines, store, storeHealth, transport)
            .admission(admission)
            .urgency(new ProgramUrgency())
            .build();
    state.adoptIfNewer(
        new GatewayConfiguration(
            1,
            List.of(
                route("/safe/", RouteKind.SAFE, 2, false, false),
                route("/unsafe/", RouteKind.UNSAFE, 2, false, false),
                route("/resumable/", RouteKind.STREAMING, 2, false, true),
                route("/once/", RouteKind.STREAMING, 2, false, false),
                route("/kept/", RouteKind.STREAMING, 2, true, false)),
            List.of(new ServiceProfile("s", 100, TOKENS_PER_EVENT)),
            RequestLimits.DEFAULT));
  }

  private static Route route(
      String prefix, RouteKind kind, int attempts, boolean retained, boolean resumable) {
    return new Route(
        prefix,
        "h",
        prefix,
        kind,
        TIMEOUT_MILLIS,
        200,
        300,
        1,
        List.of(new Backend("s", 1)),
        attempts,
        retained,
        60_000,
        true,
        resumable,
        false,
        Residency.ANY);
  }

  private ClientCall call(String path) {
    return call(path, "r", null, null, -1);
  }

  private ClientCall call(
      String path, String id, String previousTurn, String program, long budget) {
    return call(path, id, previousTurn, program, program, budget);
  }

  private ClientCall call(
      String path, String id, String previousTurn, String program, String session, long budget) {
    return call(path, id, previousTurn, program, session, budget, CallAttributes.ABSENT);
  }

  private ClientCall call(
      String path,
      String id,
      String previousTurn,
      String program,
      String session,
      long budget,
      long finishMillis) {
    CallAttributes attributes =
        new CallAttributes(
            id,
            3_000,
            finishMillis,
            program,
            session,
            budget,
            500,
            List.of(),
            previousTurn,
            -1,
            null,
            null);
    return call(path, attributes);
  }

  private ClientCall call(String path, CallAttributes attributes) {
    CallRequest request =
        new CallRequest(
            "POST",
            path + "x",
            "h",
            new DefaultHttpHeaders(),
            ("in " + attributes.requestId() + ";").getBytes(StandardCharsets.UTF_8),
            attributes,
            eventLoop.nanoTime());
    return new CallCoordinator(context).accept(request, responder);
  }

  @Test
  void passesOnAWholeAnswer() {
    call("/safe/");
    transport.last().head(200, true, false, false).bytes("body").complete();
    assertEquals(List.of("answer 200 body"), responder.received());
  }

  @Test
  void passesOnEventsAndTheEnd() {
    call("/once/");
    transport.last().stream().event(1).event(2).complete();
    assertEquals(List.of("begin", "id: 1 data: d1", "id: 2 data: d2", "end"), responder.received());
  }

  @Test
  void aTurnIsSentWithARankThatDependsOnTheRemainingTimeOfItsProgram() {
    call("/once/", "r1", null, "p", "p", -1, 900);
    assertEquals(UrgencyLevel.STARTING.rank(1), transport.last().request().rank());
    eventLoop.advance(100);
    call("/once/", "r4", null, "p", "p", -1, 800);
    assertEquals(UrgencyLevel.UNDER_WAY.rank(1), transport.last().request().rank());
    eventLoop.advance(600);
    transport.last().notExecuted();
    assertEquals(UrgencyLevel.NEAR_TARGET.rank(1), transport.last().request().rank());
    eventLoop.advance(200);
    transport.last().notExecuted();
    assertEquals(UrgencyLevel.LATE.rank(1), transport.last().request().rank());
  }

  @Test
  void anUnknownRouteIsRefusedAsSuchOnlyWhileTheConfigurationIsRecent() {
    call("/nowhere/");
    assertEquals(ErrorKind.UNKNOWN_RESOURCE, responder.refusal().kind());
    eventLoop.advance(10_000);
    call("/nowhere/");
    assertEquals(ErrorKind.NOT_READY, responder.refusal().kind());
    assertTrue(responder.refusal().retryAfterMillis() > 0);
  }

  @Test
  void anUnsafeRequestIsSentAgainOnlyAfterItProvablyDidNotRun() {
    call("/unsafe/");
    transport.last().notExecuted();
    transport.last().failUnsent();
    assertEquals(3, transport.count());
    transport.last().breakConnection();
    assertEquals(3, transport.count());
    assertEquals(List.of("refuse OUTCOME_UNKNOWN"), responder.received());
  }

  @Test
  void aRequestWaitsForCapacityWhileItCanFinishInTimeAndThenGetsARetryDelay() {
    call("/unsafe/");
    long waited = 0;
    while (responder.received().isEmpty() && waited < TIMEOUT_MILLIS) {
      transport.last().notExecuted();
      eventLoop.advance(5);
      waited += 5;
    }
    assertEquals(ErrorKind.NO_BACKEND, responder.refusal().kind());
    assertTrue(responder.refusal().retryAfterMillis() > 0);
    assertTrue(waited >= TIMEOUT_MILLIS - 100 && waited < TIMEOUT_MILLIS - 20, waited + " ms");
  }

  @ParameterizedTest(
      name = "{0}, {1} ms to the finish target: waits at least {2} ms, less than {3} ms")
  @CsvSource({
    "/safe/, 1000, 900, 980",
    "/safe/, -1, 2900, 2980",
    "/safe/, 10, 2900, 2980",
    "/unsafe/, 1000, 2900, 2980"
  })
  void aRepeatableRequestWaitsForCapacityOnlyWithinAFinishTargetThatItCanMeet(
      String path, long finishMillis, long least, long below) {
    CallAttributes attributes =
        new CallAttributes(
            "r", 3_000, finishMillis, "p", "p", -1, 500, List.of(), null, -1, null, null);
    call(path, attributes);
    long waited = 0;
    while (responder.received().isEmpty() && waited < TIMEOUT_MILLIS) {
      transport.last().notExecuted();
      eventLoop.advance(5);
      waited += 5;
    }
    assertEquals(List.of("refuse NO_BACKEND"), responder.received());
    assertTrue(waited >= least && waited < below, waited + " ms");
  }

  @Test
  void aRequestDoesNotWaitAfterARoundOfUnreachableEngines() {
    for (int i = 3; i < 9; i++) {
      engines.put(new EngineRecord("e" + i, "s", "10.0.0." + i, 80, "z", 8, false));
    }
    call("/unsafe/");
    for (int i = 0; i < 6; i++) {
      transport.last().failUnsent();
    }
    assertEquals(6, transport.count());
    assertEquals(List.of("refuse NO_BACKEND"), responder.received());
  }

  @Test
  void aTurnThatWaitsForCapacityWhenItsGrantArrivesIsSentOnce() {
    call("/unsafe/");
    for (int i = 0; i < 3; i++) {
      transport.last().notExecuted();
    }
    int sent = transport.count();
    call("/once/", "t", null, "p", 10_000);
    assertEquals(sent, transport.count(), "no engine has a free slot");
    eventLoop.advance(500);
    assertEquals(sent + 2, transport.count(), "each of the two is sent once there is capacity");
  }

  @Test
  void aRequestThatWaitedForCapacityIsServedOnceThereIsSome() {
    call("/unsafe/");
    for (int i = 0; i < 20; i++) {
      transport.last().notExecuted();
      eventLoop.advance(5);
    }
    assertEquals(List.of(), responder.received());
    eventLoop.advance(100);
    transport.last().head(200, true, false, false).bytes("body").complete();
    assertEquals(List.of("answer 200 body"), responder.received());
  }

  @Test
  void aSafeRequestIsSentToAnotherEngineWithinItsAttempts() {
    call("/safe/");
    transport.last().breakConnection();
    assertNotEquals(transport.sent(0).engineId(), transport.sent(1).engineId());
    transport.last().breakConnection();
    assertEquals(2, transport.count());
    assertEquals(List.of("refuse BACKEND_FAILED"), responder.received());
  }

  @Test
  void aSafeRequestIsCancelledAtASilentEngine() {
    call("/safe/");
    long silenceMillis =
        route("/safe/", RouteKind.SAFE, 2, false, false).silenceTimeoutMillis(false);
    eventLoop.advance(silenceMillis - 1);
    assertFalse(transport.sent(0).cancelled());
    eventLoop.advance(1);
    assertTrue(transport.sent(0).cancelled());
    transport.last().head(200, true, false, false).bytes("b").complete();
    assertEquals(List.of("answer 200 b"), responder.received());
  }

  @Test
  void aSuccessWithoutSignatureIsNotPassedOn() {
    call("/unsafe/");
    transport.last().head(200, false, false, false);
    assertEquals(List.of("refuse OUTCOME_UNKNOWN"), responder.received());
  }

  @Test
  void anErrorResponseOfAnEngineIsPassedOnUnchanged() {
    call("/unsafe/");
    transport.last().head(500, true, false, false).bytes("oops").complete();
    assertEquals(List.of("answer 500 oops"), responder.received());
  }

  @Test
  void aBrokenStreamContinuesAtAnotherEngineWithoutMissingOrRepeatedEvents() {
    call("/resumable/");
    Sent first = transport.last();
    first.stream().event(1).event(2).bytes("id: 3\nda");
    first.breakConnection();
    Sent second = transport.last();
    assertEquals(2, second.request().lastEventId());
    second.stream().event(2).event(3).complete();
    assertEquals(
        List.of("begin", "id: 1 data: d1", "id: 2 data: d2", "id: 3 data: d3", "end"),
        responder.received());
  }

  @Test
  void aStreamThatEndsWithinAnEventIsNotComplete() {
    call("/once/");
    transport.last().stream().event(1).bytes("id: 2\ndata").complete();
    assertEquals(List.of("begin", "id: 1 data: d1", "abort"), responder.received());
  }

  @Test
  void aStreamThatMayNotBeRepeatedIsCut() {
    call("/once/");
    transport.last().stream().event(1);
    transport.last().breakConnection();
    assertEquals(List.of("begin", "id: 1 data: d1", "abort"), responder.received());
    assertEquals(1, transport.count());
  }

  @Test
  void aDisconnectOfTheCallerCancelsTheRun() {
    ClientCall call = call("/resumable/");
    call.callerDisconnected();
    assertTrue(transport.last().cancelled());
    eventLoop.advance(5_000);
    assertEquals(1, transport.count());
    assertEquals(List.of(), responder.received());
  }

  @Test
  void aTurnThatWasNotSentIsRefusedWithARetryDelayAtItsDeadline() {
    store.fault(Fault.REFUSE);
    call("/once/", "r", null, "p", "line of a sub-agent", 10_000);
    eventLoop.advance(TIMEOUT_MILLIS + 100);
    assertEquals(0, transport.count());
    assertEquals(503, responder.refusal().kind().httpStatus());
    assertTrue(responder.refusal().retryAfterMillis() > 0);
  }

  @Test
  void aCallThatIsStillRunningIsRefusedAtItsDeadline() {
    call("/unsafe/");
    eventLoop.advance(TIMEOUT_MILLIS + 10);
    assertEquals(List.of("refuse DEADLINE_PASSED"), responder.received());
    assertTrue(transport.last().cancelled());
  }

  @Test
  void noEventIsSentToTheCallerBeforeItsGrant() {
    call("/once/", "r", null, "p", 10_000);
    transport.last().stream().event(1);
    assertEquals(List.of(), responder.received());
    eventLoop.advance(10);
    assertEquals(List.of("begin", "id: 1 data: d1"), responder.received());
    transport.last().event(2).complete();
    assertEquals("end", responder.received().get(3));
  }

  @Test
  void aStreamThatEndedBeforeItsGrantIsPassedOnOnceGranted() {
    call("/once/", "r", null, "p", 10_000);
    transport.last().stream().event(1).complete();
    eventLoop.advance(10);
    assertEquals(List.of("begin", "id: 1 data: d1", "end"), responder.received());
  }

  @Test
  void aSpentBudgetIsReportedIfNothingRan() {
    call("/once/", "r1", null, "p", 400);
    eventLoop.advance(10);
    for (int i = 1; i <= 20; i++) {
      transport.last().stream().event(i);
    }
    transport.last().complete();
    int sentBefore = transport.count();
    call("/once/", "r2", null, "p", 400);
    assertEquals(ErrorKind.BUDGET_EXCEEDED, responder.refusal().kind());
    assertEquals(sentBefore, transport.count());
  }

  @Test
  void aBudgetSpentAtAnotherNodeIsNotReportedAfterTheTurnWasSent() {
    ProgramBudgets elsewhere =
        new ProgramBudgets(store, eventLoop, new GrantIds(900), GrantSource.NONE);
    elsewhere.reserve("p", 400, 500, Long.MAX_VALUE, () -> {});
    eventLoop.advance(10);
    call("/once/", "r", null, "p", 400);
    transport.last().stream().event(1);
    eventLoop.advance(50);
    assertEquals(List.of("refuse BACKEND_FAILED"), responder.received());
    assertTrue(transport.last().cancelled());
  }

  @Test
  void aTurnRunsWhileItWaitsForTheStoreIfEnginesHaveSpareCapacity() {
    storeHealth.failed(eventLoop.nanoTime());
    storeHealth.failed(eventLoop.nanoTime());
    store.fault(Fault.REFUSE);
    call("/once/", "r", null, "p", 10_000);
    transport.last().stream().event(1).complete();
    eventLoop.advance(1_000);
    assertEquals(List.of(), responder.received());
    store.fault(Fault.NONE);
    eventLoop.advance(100);
    assertEquals(List.of("begin", "id: 1 data: d1", "end"), responder.received());
  }

  @Test
  void aTurnThatTheStoreDoesNotGrantEndsAtItsDeadline() {
    store.fault(Fault.REFUSE);
    call("/once/", "r", null, "p", 10_000);
    transport.last().stream().event(1).complete();
    eventLoop.advance(TIMEOUT_MILLIS + 100);
    assertEquals(1, responder.received().size());
    assertTrue(responder.refusal().kind().httpStatus() >= 502);
    assertNotEquals(503, responder.refusal().kind().httpStatus());
  }

  @Test
  void nothingIsSentWithoutStoreWhileEnginesAreBusy() {
    eventLoop.advance(300);
    observeLongWaits();
    storeHealth.failed(eventLoop.nanoTime());
    storeHealth.failed(eventLoop.nanoTime());
    store.fault(Fault.REFUSE);
    call("/once/", "r", null, "p", 10_000);
    assertEquals(ErrorKind.STORE_UNAVAILABLE, responder.refusal().kind());
    assertTrue(responder.refusal().retryAfterMillis() > 0);
    assertEquals(0, transport.count());
  }

  @Test
  void aNewProgramIsRefusedWhileRequestsWaitAtEngines() {
    observeLongWaits();
    call("/once/", "r", null, "p", 10_000);
    eventLoop.advance(10);
    assertEquals(ErrorKind.OVERLOADED, responder.refusal().kind());
    assertTrue(responder.refusal().retryAfterMillis() > 0);
    assertEquals(0, transport.count());
  }

  @Test
  void aRefusedProgramHasNotStartedAndIsDecidedOnAgainWhenItReturns() {
    observeLongWaits();
    for (int i = 0; i < 3; i++) {
      call("/once/", "r" + i, null, "p", 10_000);
      eventLoop.advance(10);
      assertEquals(ErrorKind.OVERLOADED, responder.refusal().kind());
    }
    assertEquals(0, store.transactions());
    assertEquals(0, transport.count());
  }

  @Test
  void aNewProgramIsSentWithoutAReadOfTheStoreWhileThereIsCapacity() {
    call("/once/", "r", null, "p", 10_000);
    assertEquals(1, transport.count());
    assertEquals(0, store.reads());
  }

  @Test
  void aProgramIsNotRefusedIfTheStoreCannotBeRead() {
    observeLongWaits();
    store.failReads(true);
    call("/once/", "r", null, "p", 10_000);
    eventLoop.advance(20);
    assertEquals(1, transport.count());
  }

  @Test
  void aProgramWithoutBudgetIsRefusedAtOnceButNotOnceItRuns() {
    call("/once/", "t1", null, "runs", -1);
    transport.last().stream().event(1).complete();
    observeLongWaits();
    call("/once/", "r", null, "p", -1);
    assertEquals(ErrorKind.OVERLOADED, responder.refusal().kind());
    assertEquals(1, transport.count());
    call("/once/", "t2", null, "runs", -1);
    assertEquals(2, transport.count());
  }

  @Test
  void aSubAgentIsNeverRefused() {
    observeLongWaits();
    call("/once/", "r", null, "p", "sub-agent", 10_000);
    eventLoop.advance(20);
    assertEquals(1, transport.count());
  }

  @Test
  void aDisconnectDuringTheLookupOfTheProgramEndsTheCall() {
    observeLongWaits();
    call("/once/", "r", null, "p", 10_000).callerDisconnected();
    eventLoop.advance(20);
    assertEquals(List.of(), responder.received());
    assertEquals(0, transport.count());
  }

  @Test
  void aRunningProgramContinuesWhileRequestsWaitAtEngines() {
    call("/kept/", "t1", null, "p", 10_000);
    eventLoop.advance(10);
    transport.last().stream().event(1).complete();
    eventLoop.advance(10);
    observeLongWaits();
    call("/kept/", "t2", "t1", "p", 10_000);
    eventLoop.advance(20);
    assertEquals(2, transport.count());
  }

  private void observeLongWaits() {
    for (int i = 0; i < 100; i++) {
      admission.observeWait("s", 2_000, eventLoop.nanoTime());
    }
  }

  @Test
  void aProgramStartedAtAnotherNodeContinuesWhileRequestsWaitAtEngines() {
    ProgramBudgets elsewhere =
        new ProgramBudgets(store, eventLoop, new GrantIds(900), GrantSource.NONE);
    elsewhere.reserve("p", 10_000, 500, Long.MAX_VALUE, () -> {});
    eventLoop.advance(10);
    observeLongWaits();
    call("/once/", "r", null, "p", 10_000);
    eventLoop.advance(20);
    assertEquals(1, transport.count());
  }

  @ParameterizedTest(name = "session {0}: {1} sends before the grant is known")
  @CsvSource({"p, 1", "sub-agent, 0"})
  void onlyTheFirstConversationOfAnUnknownProgramIsSentBeforeItsGrantIsKnown(
      String session, int sends) {
    call("/once/", "r", null, "p", session, 10_000);
    assertEquals(sends, transport.count());
    eventLoop.advance(100);
    assertEquals(1, transport.count());
  }

  @Test
  void aTurnOfAKnownProgramIsSentOnlyOnceItsGrantIsKnown() {
    // The first grant, a third of the budget, covers four turns.
    for (int i = 1; i <= 5; i++) {
      call("/once/", "t" + i, null, "p", 6_000);
      int sentAtOnce = transport.count();
      eventLoop.advance(10);
      transport.last().stream();
      for (int event = 1; event <= 20; event++) {
        transport.last().event(event);
      }
      transport.last().complete();
      assertEquals(i == 5 ? 4 : i, sentAtOnce, "turn " + i);
    }
  }

  @Test
  void aStoredTurnEndsOnlyAfterTheStoreHasIt() {
    call("/kept/", "t1", null, null, -1);
    transport.last().stream().event(1).complete();
    assertFalse(responder.received().contains("end"));
    eventLoop.advance(10);
    assertTrue(responder.received().contains("end"));
  }

  /** Guards against a stored turn that lacks its first events. */
  @Test
  void aTurnThatIsToBeStoredIsNotResumed() {
    call(
        "/kept/",
        new CallAttributes(
            "again", 3_000, -1, null, null, -1, 500, null, List.of(), null, 1, "t1", null, null));
    assertEquals(ErrorKind.STREAM_NOT_RESUMABLE, responder.refusal().kind());
    assertEquals("a turn that is to be stored cannot be resumed", responder.refusal().detail());
    assertEquals(0, transport.count());
  }

  @Test
  void aTurnThatCannotBeStoredIsCut() {
    call("/kept/", "t1", null, null, -1);
    store.fault(Fault.REFUSE);
    transport.last().stream().event(1).complete();
    eventLoop.advance(4_000);
    assertEquals(List.of("begin", "id: 1 data: d1", "abort"), responder.received());
  }

  @Test
  void aContinuedTurnSendsItsWholeChain() {
    call("/kept/", "t1", null, null, -1);
    transport.last().stream().event(1).event(2).complete();
    eventLoop.advance(10);
    call("/kept/", "t2", "t1", null, -1);
    eventLoop.advance(10);
    assertEquals("in t1;d1\nd2\nin t2;", transport.last().body());
  }

  @Test
  void anUnknownPreviousTurnGetsAnotherStatusThanAnUnreadableOne() {
    call("/kept/", "t2", "nowhere", null, -1);
    eventLoop.advance(100);
    assertEquals(404, responder.refusal().kind().httpStatus());
    store.failReads(true);
    call("/kept/", "t3", "nowhere", null, -1);
    eventLoop.advance(1_500);
    assertEquals(503, responder.refusal().kind().httpStatus());
    assertEquals(0, transport.count());
  }

  @ParameterizedTest(name = "the entry says that the engine drains: {0}")
  @ValueSource(booleans = {true, false})
  void aDrainingOrRemovedEngineFinishesItsRequestsAndGetsNoNewOnes(boolean draining) {
    call("/once/");
    Sent current = transport.last();
    EngineRecord leaving = engines.find(new EngineId(current.engineId())).record();
    if (draining) {
      engines.put(drainingCopy(leaving));
    } else {
      engines.remove(leaving.id(), 0, eventLoop.nanoTime());
    }
    current.stream().event(1);
    for (int i = 0; i < 20; i++) {
      call("/safe/", "r" + i, null, null, -1);
      assertNotEquals(leaving.id(), transport.last().engineId());
      eventLoop.advance(20);
    }
    current.event(2).complete();
    assertTrue(responder.received().contains("end"), responder.received().toString());
  }

  private static EngineRecord drainingCopy(EngineRecord record) {
    return new EngineRecord(
        record.id(),
        record.service(),
        record.host(),
        record.port(),
        record.zone(),
        record.slots(),
        true);
  }

  /**
   * Guards against a status that tells the caller that its request did not run, when the engine
   * does not state that.
   */
  @ParameterizedTest(name = "{0} of {1}, signed: {2}")
  @CsvSource({
    "503, /unsafe/, false, refuse OUTCOME_UNKNOWN",
    "429, /unsafe/, false, refuse OUTCOME_UNKNOWN",
    "408, /unsafe/, false, refuse OUTCOME_UNKNOWN",
    "402, /once/, false, refuse OUTCOME_UNKNOWN",
    "503, /once/, false, refuse OUTCOME_UNKNOWN",
    "503, /unsafe/, true, answer 503 no",
    "500, /unsafe/, false, answer 500 no",
    "404, /unsafe/, false, answer 404 no",
  })
  void statusThatMeansNotRunIsPassedOnOnlyIfTheEngineAnswersForIt(
      int status, String path, boolean signed, String expected) {
    call(path);
    transport.last().head(status, signed, false, false).bytes("no").complete();
    assertEquals(List.of(expected), responder.received());
    assertEquals(1, transport.count());
  }
}
