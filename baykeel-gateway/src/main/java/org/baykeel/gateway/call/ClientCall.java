package org.baykeel.gateway.call;

import java.util.Optional;
import org.baykeel.core.error.ErrorKind;
import org.baykeel.gateway.budget.ReservationStatus;
import org.baykeel.gateway.buffering.EngineBody;
import org.baykeel.gateway.configuration.Route;
import org.baykeel.gateway.directory.SoftwareVersion;
import org.baykeel.gateway.history.TurnHistory.Lookup;
import org.baykeel.gateway.resumption.StreamVersions;
import org.baykeel.gateway.runtime.EventLoop;
import org.baykeel.gateway.telemetry.GatewayMetrics;
import org.baykeel.gateway.tenancy.Caller;

/**
 * One call, from its arrival to the end of its response.
 *
 * <p>Invariants: a refusal that promises that the request did not run is sent only if that is true;
 * no event reaches the caller before its tokens are granted; the stream of a turn that is to be
 * stored ends only after the store has the turn.
 */
public final class ClientCall implements AttemptSequence.Owner {
  private static final long BUSY_RETRY_MILLIS = 150;
  private static final long STORE_RETRY_MILLIS = 800;

  private final GatewayContext context;
  private final WaitQueue waitQueue;
  private final CallRequest request;
  private final CallResponder responder;
  private final EventLoop eventLoop;
  private final CallRecord record;
  private Route route;
  private Caller caller;
  private AuthorizedCall call;
  private ResponseRelay relay;
  private AttemptSequence attempts;
  private EngineBody engineBody;
  private TurnChain turnChain;
  private TurnBudget budget;
  private EventLoop.Timer deadlineTimer;
  private boolean streamComplete;
  private boolean finished;

  ClientCall(
      GatewayContext context, WaitQueue waitQueue, CallRequest request, CallResponder responder) {
    this.context = context;
    this.waitQueue = waitQueue;
    this.request = request;
    this.responder = responder;
    this.eventLoop = context.eventLoop();
    this.record = new CallRecord(request, context.log(), context.metrics(), eventLoop);
  }

  void start() {
    record.waitStarted(CallRecord.Wait.ADMISSION);
    new CallAuthorization(context, request, this::onAuthorization).start();
  }

  private void onAuthorization(CallAuthorization.Outcome outcome) {
    if (finished) {
      return;
    }
    if (outcome instanceof CallAuthorization.Outcome.Refused refused) {
      route = refused.route();
      record.setTenant(refused.tenant());
      refuse(refused.refusal());
    } else {
      proceed((CallAuthorization.Outcome.Authorized) outcome);
    }
  }

  private void proceed(CallAuthorization.Outcome.Authorized authorized) {
    route = authorized.route();
    caller = authorized.caller();
    record.setTenant(caller.name());
    call = AuthorizedCall.of(request, authorized, context.backendSelector());
    if (!context.state().acceptsUntil(call.deadlineNanos())) {
      refuse(ErrorKind.STOPPING, StopSchedule.RETRY_MILLIS, "node stops before the deadline");
      return;
    }
    turnChain = new TurnChain(context, call);
    long remainingMillis = Math.max(0, (call.deadlineNanos() - eventLoop.nanoTime()) / 1_000_000);
    deadlineTimer = eventLoop.schedule(remainingMillis, this::onDeadline);
    relay = new ResponseRelay(responder, attributes().lastEventId(), route.retained());
    attempts = new AttemptSequence(context, waitQueue, call, record, relay, this);
    budget = new TurnBudget(context, call);
    budget.admit(this::onProgramAdmitted, this::refuse);
  }

  private void onProgramAdmitted() {
    record.waitEnded(CallRecord.Wait.ADMISSION);
    if (!call.stream() || !attributes().resumesStream()) {
      prepare();
    } else if (route.retained()) {
      // This node has not seen the events before, and a turn is stored only with all its events.
      refuse(ErrorKind.STREAM_NOT_RESUMABLE, 0, "a turn that is to be stored cannot be resumed");
    } else {
      findStreamVersion();
    }
  }

  private void findStreamVersion() {
    record.waitStarted(CallRecord.Wait.STREAM_VERSION);
    context
        .streamVersions()
        .find(
            new StreamVersions.BrokenStream(
                attributes().requestId(), attributes().resumedRequestId(), call.service()),
            this::onStreamVersion);
  }

  private void onStreamVersion(Optional<SoftwareVersion> version) {
    if (finished) {
      return;
    }
    record.waitEnded(CallRecord.Wait.STREAM_VERSION);
    if (version.isEmpty()) {
      refuse(
          ErrorKind.STREAM_NOT_RESUMABLE,
          0,
          "the software version at which the stream began is not known");
      return;
    }
    attempts.continueAt(version.get());
    prepare();
  }

  private void prepare() {
    if (budgetAndStoreAllow()) {
      findHistory();
    }
  }

  private CallAttributes attributes() {
    return request.attributes();
  }

  // The budget and the history of the turn.

  private boolean budgetAndStoreAllow() {
    if (!call.stream()) {
      return true;
    }
    if (route.retained() && budget.mustRefuseWithoutStore()) {
      refuse(
          ErrorKind.STORE_UNAVAILABLE,
          STORE_RETRY_MILLIS,
          "turn cannot be stored: store unreachable");
      return false;
    }
    if (!attributes().budgeted()) {
      relay.passOn();
      return true;
    }
    return budgetAdmits();
  }

  private boolean budgetAdmits() {
    ReservationStatus status = budget.reserve(call.deadlineNanos(), this::onReservationDecided);
    if (status == ReservationStatus.EXHAUSTED) {
      refuse(ErrorKind.BUDGET_EXCEEDED, 0, "budget spent");
      return false;
    }
    if (status == ReservationStatus.PENDING && budget.mustRefuseWithoutStore()) {
      refuse(ErrorKind.STORE_UNAVAILABLE, STORE_RETRY_MILLIS, "no token grant: store unreachable");
      return false;
    }
    if (status == ReservationStatus.GRANTED) {
      relay.passOn();
    } else {
      record.waitStarted(CallRecord.Wait.GRANT);
    }
    return true;
  }

  private void findHistory() {
    if (!route.retained() || attributes().previousTurn() == null) {
      onReadyToSend(EngineBody.of(request.body()));
      return;
    }
    record.waitStarted(CallRecord.Wait.HISTORY);
    turnChain.findPrevious(this::onHistory);
  }

  private void onHistory(Lookup lookup) {
    record.waitEnded(CallRecord.Wait.HISTORY);
    if (lookup instanceof Lookup.Found found) {
      onReadyToSend(found.conversation().continuedBy(request.body()));
    } else if (lookup instanceof Lookup.Absent) {
      refuse(ErrorKind.UNKNOWN_PROGRAM, 0, "previous turn does not exist");
    } else if (lookup instanceof Lookup.NoRoom noRoom) {
      onNoRoom(noRoom);
    } else if (lookup instanceof Lookup.TooLong tooLong) {
      context.metrics().conversationRefused(GatewayMetrics.ConversationRefusal.TOO_LONG);
      refuse(
          ErrorKind.TOO_LARGE,
          0,
          "conversation of " + tooLong.bytes() + " bytes exceeds the limit of a node");
    } else {
      refuse(
          ErrorKind.STORE_UNAVAILABLE,
          STORE_RETRY_MILLIS,
          "previous turns could not be read from the store");
    }
  }

  /** The conversations that are held now are let go once their engines have completed. */
  private void onNoRoom(Lookup.NoRoom noRoom) {
    context.metrics().conversationRefused(GatewayMetrics.ConversationRefusal.NO_ROOM);
    refuse(
        ErrorKind.OVERLOADED,
        Math.max(BUSY_RETRY_MILLIS, noRoom.turnovers() * attempts.usualResponseMillis()),
        "no memory for a conversation of " + noRoom.bytes() + " bytes");
  }

  private void onReadyToSend(EngineBody body) {
    engineBody = body;
    if (budget.maySend()) {
      attempts.start(engineBody);
    }
  }

  private void onReservationDecided() {
    if (finished) {
      return;
    }
    record.waitEnded(CallRecord.Wait.GRANT);
    switch (budget.status()) {
      case GRANTED -> onGranted();
      case EXHAUSTED -> onNotGranted(ErrorKind.BUDGET_EXCEEDED, 0, "budget spent");
      default ->
          onNotGranted(
              ErrorKind.STORE_UNAVAILABLE,
              STORE_RETRY_MILLIS,
              "no token grant: store did not answer in time");
    }
  }

  private void onGranted() {
    if (relay.hasHeldEvents()) {
      recordEventsSent(relay.passOn());
    } else {
      relay.passOn();
    }
    if (streamComplete) {
      finishStream();
    } else if (engineBody != null && !attempts.started()) {
      attempts.start(engineBody);
    }
  }

  private void onNotGranted(ErrorKind kind, long retryMillis, String detail) {
    if (attempts.sends() == 0) {
      refuse(kind, retryMillis, detail);
    } else {
      // The engine may have started: the response must not promise that nothing ran.
      refuse(ErrorKind.BACKEND_FAILED, 0, detail);
    }
  }

  // Notifications from the attempts.

  @Override
  public void onStreamEvent(StreamEvent event) {
    if (relay.addEvent(event)) {
      recordEventsSent(1);
    }
  }

  @Override
  public void onStreamComplete() {
    streamComplete = true;
    if (budget.status() == ReservationStatus.GRANTED) {
      finishStream();
    }
  }

  @Override
  public void onWholeResponse(ResponseHead head, byte[] body) {
    finished = true;
    responder.respond(head, body);
    recordEnd(head.status(), "answered");
  }

  @Override
  public void onAttemptsFailed(ErrorKind kind, long retryMillis, String detail) {
    if (relay.headSent()) {
      abort(detail);
    } else if (kind == ErrorKind.REQUEST_HELD) {
      // The time until the request may be sent is known, so that jitter would only make it wrong.
      refuse(new Refusal(kind, retryMillis, detail));
    } else {
      refuse(kind, retryMillis, detail);
    }
  }

  private void recordEventsSent(int events) {
    budget.recordUse(events * call.tokensPerEvent());
  }

  // The end of the call.

  private void finishStream() {
    if (!route.retained()) {
      endStream();
      return;
    }
    record.waitStarted(CallRecord.Wait.STORE_TURN);
    turnChain.store(relay.takeOutput(), this::onTurnStored);
  }

  private void onTurnStored(boolean stored) {
    if (finished) {
      return;
    }
    record.waitEnded(CallRecord.Wait.STORE_TURN);
    if (stored) {
      endStream();
    } else if (relay.headSent()) {
      abort("turn could not be stored");
    } else {
      refuse(ErrorKind.BACKEND_FAILED, 0, "turn could not be stored");
    }
  }

  private void endStream() {
    finished = true;
    relay.endStream();
    recordEnd(200, "streamed");
  }

  private void onDeadline() {
    if (finished) {
      return;
    }
    attempts.cancel("deadline");
    if (relay.headSent()) {
      abort("deadline");
    } else if (attempts.runs() == 0) {
      // No engine has the request, so the caller may send it again even if it may run only once.
      refuse(
          ErrorKind.OVERLOADED,
          BUSY_RETRY_MILLIS,
          "deadline passed before an engine took the request");
    } else {
      refuse(ErrorKind.DEADLINE_PASSED, 0, "deadline");
    }
  }

  /** Ends the call since the process is about to end. */
  public void endForStop() {
    if (finished) {
      return;
    }
    String detail = "node stops";
    cancelAttempt("node_stops");
    if (relay != null && relay.headSent()) {
      abort(detail);
    } else if (attempts == null || attempts.runs() == 0) {
      refuse(ErrorKind.STOPPING, StopSchedule.RETRY_MILLIS, detail);
    } else {
      boolean repeatable = route.repeatable();
      refuse(repeatable ? ErrorKind.BACKEND_FAILED : ErrorKind.OUTCOME_UNKNOWN, 0, detail);
    }
  }

  /** Ends the call without a response, since the caller has disconnected. */
  public void callerDisconnected() {
    if (finished) {
      return;
    }
    finished = true;
    cancelAttempt("caller_left");
    recordEnd(ErrorKind.CANCELLED.httpStatus(), "caller_left");
  }

  private void cancelAttempt(String outcome) {
    if (attempts != null) {
      attempts.cancel(outcome);
    }
  }

  private void abort(String detail) {
    finished = true;
    cancelAttempt("aborted");
    relay.abortStream();
    recordEnd(0, "aborted: " + detail);
  }

  private void refuse(ErrorKind kind, long meanMillis, String detail) {
    refuse(new Refusal(kind, context.admission().retryDelay().jittered(meanMillis), detail));
  }

  private void refuse(Refusal refusal) {
    finished = true;
    cancelAttempt("refused");
    responder.refuse(refusal);
    recordEnd(refusal.kind().httpStatus(), "refused: " + refusal.detail());
  }

  private void recordEnd(int status, String outcome) {
    if (deadlineTimer != null) {
      deadlineTimer.cancel();
    }
    if (budget != null) {
      budget.close();
      turnChain.close();
    }
    record.callEnded(end(status, outcome));
    if (engineBody != null) {
      engineBody.release();
    }
  }

  private CallRecord.End end(int status, String outcome) {
    if (attempts == null) {
      return new CallRecord.End(route, status, outcome, 0, 0, 0, 0);
    }
    attempts.end();
    return new CallRecord.End(
        route,
        status,
        outcome,
        attempts.firstEventNanos(),
        attempts.sends(),
        attempts.runs(),
        relay.close());
  }
}
