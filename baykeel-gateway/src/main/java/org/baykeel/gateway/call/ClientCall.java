package org.baykeel.gateway.call;

import org.baykeel.core.error.ErrorKind;
import org.baykeel.gateway.budget.ReservationStatus;
import org.baykeel.gateway.configuration.Route;
import org.baykeel.gateway.history.TurnHistory.Lookup;
import org.baykeel.gateway.runtime.EventLoop;
import org.baykeel.gateway.tenancy.Caller;

/**
 * One request from its arrival to its final answer.
 *
 * <p>Invariants: a refusal with a promise of not having run is given only while that is true; no
 * event reaches the caller before its tokens are granted; a kept turn ends only after the store has
 * it.
 */
public final class ClientCall implements AttemptSequence.Owner {
  private static final long BUSY_RETRY_MILLIS = 150;
  private static final long STORE_RETRY_MILLIS = 800;

  private final GatewayContext context;
  private final WaitQueue roomQueue;
  private final CallRequest request;
  private final CallResponder responder;
  private final EventLoop eventLoop;
  private final CallRecord record;
  private Route route;
  private Caller caller;
  private AuthorizedCall call;
  private ResponseRelay relay;
  private AttemptSequence attempts;
  private byte[] engineBody;
  private TurnChain retainedTurn;
  private TurnBudget budget;
  private EventLoop.Timer deadlineTimer;
  private boolean streamComplete;
  private boolean over;

  ClientCall(
      GatewayContext context, WaitQueue roomQueue, CallRequest request, CallResponder responder) {
    this.context = context;
    this.roomQueue = roomQueue;
    this.request = request;
    this.responder = responder;
    this.eventLoop = context.eventLoop();
    this.record = new CallRecord(request, context.log(), context.metrics(), eventLoop);
  }

  void start() {
    record.waitBegan(CallRecord.Wait.ADMISSION);
    new CallAuthorization(context, request, this::onAdmission).begin();
  }

  private void onAdmission(CallAuthorization.Outcome outcome) {
    if (over) {
      return;
    }
    if (outcome instanceof CallAuthorization.Outcome.Refused refused) {
      route = refused.route();
      record.tenant(refused.tenant());
      refuse(refused.refusal());
    } else {
      begin((CallAuthorization.Outcome.Admitted) outcome);
    }
  }

  private void begin(CallAuthorization.Outcome.Admitted admitted) {
    route = admitted.route();
    caller = admitted.caller();
    record.tenant(caller.name());
    call = AuthorizedCall.of(request, admitted, context.backendChooser());
    retainedTurn = new TurnChain(context, call);
    long leftMillis = Math.max(0, (call.deadlineNanos() - eventLoop.nanoTime()) / 1_000_000);
    deadlineTimer = eventLoop.schedule(leftMillis, this::onDeadline);
    relay = new ResponseRelay(responder, attributes().lastEventId(), route.retained());
    attempts = new AttemptSequence(context, roomQueue, call, record, relay, this);
    budget = new TurnBudget(context, call);
    budget.admit(this::onProgramAdmitted, this::refuse);
  }

  private void onProgramAdmitted() {
    record.waitEnded(CallRecord.Wait.ADMISSION);
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
    if (route.retained() && budget.mustNotWaitForStore()) {
      refuse(ErrorKind.STORE_UNAVAILABLE, STORE_RETRY_MILLIS, "kept turn without store");
      return false;
    }
    if (!attributes().budgeted()) {
      relay.open();
      return true;
    }
    return budgetAdmits();
  }

  private boolean budgetAdmits() {
    ReservationStatus grant = budget.reserve(call.deadlineNanos(), this::onGrantDecided);
    if (grant == ReservationStatus.EXHAUSTED) {
      refuse(ErrorKind.BUDGET_EXCEEDED, 0, "budget spent");
      return false;
    }
    if (grant == ReservationStatus.PENDING && budget.mustNotWaitForStore()) {
      refuse(ErrorKind.STORE_UNAVAILABLE, STORE_RETRY_MILLIS, "no grant without store");
      return false;
    }
    if (grant == ReservationStatus.GRANTED) {
      relay.open();
    } else {
      record.waitBegan(CallRecord.Wait.GRANT);
    }
    return true;
  }

  private void findHistory() {
    if (!route.retained() || attributes().previousTurn() == null) {
      onReadyToSend(request.body());
      return;
    }
    record.waitBegan(CallRecord.Wait.HISTORY);
    retainedTurn.findPrevious(this::onHistory);
  }

  private void onHistory(Lookup lookup) {
    if (over) {
      return;
    }
    record.waitEnded(CallRecord.Wait.HISTORY);
    if (lookup instanceof Lookup.Found found) {
      onReadyToSend(found.continuedBy(request.body()));
    } else if (lookup instanceof Lookup.Absent) {
      refuse(ErrorKind.UNKNOWN_PROGRAM, 0, "no such turn");
    } else {
      refuse(ErrorKind.STORE_UNAVAILABLE, STORE_RETRY_MILLIS, "history unavailable");
    }
  }

  private void onReadyToSend(byte[] body) {
    engineBody = body;
    if (budget.allowsSending()) {
      attempts.begin(engineBody);
    }
  }

  private void onGrantDecided() {
    if (over) {
      return;
    }
    record.waitEnded(CallRecord.Wait.GRANT);
    switch (budget.grant()) {
      case GRANTED -> onGranted();
      case EXHAUSTED -> onNotGranted(ErrorKind.BUDGET_EXCEEDED, 0, "budget spent");
      default -> onNotGranted(ErrorKind.STORE_UNAVAILABLE, STORE_RETRY_MILLIS, "grant unknown");
    }
  }

  private void onGranted() {
    if (relay.holding()) {
      noteEventsPassed(relay.open());
    } else {
      relay.open();
    }
    if (streamComplete) {
      finishStream();
    } else if (engineBody != null && !attempts.begun()) {
      attempts.begin(engineBody);
    }
  }

  private void onNotGranted(ErrorKind kind, long retryMillis, String detail) {
    if (attempts.sends() == 0) {
      refuse(kind, retryMillis, detail);
    } else {
      // The engine may have begun: nothing that promises the contrary may be said.
      refuse(ErrorKind.BACKEND_FAILED, 0, detail);
    }
  }

  // What the attempts tell.

  @Override
  public void onStreamEvent(StreamEvent event) {
    if (relay.event(event)) {
      noteEventsPassed(1);
    }
  }

  @Override
  public void onStreamComplete() {
    streamComplete = true;
    if (budget.grant() == ReservationStatus.GRANTED) {
      finishStream();
    }
  }

  @Override
  public void onWholeAnswer(ResponseHead head, byte[] body) {
    over = true;
    responder.respond(head, body);
    ended(head.status(), "answered");
  }

  @Override
  public void onAttemptsFailed(ErrorKind kind, long retryMillis, String detail) {
    if (relay.begun()) {
      abort(detail);
    } else {
      refuse(kind, retryMillis, detail);
    }
  }

  private void noteEventsPassed(int events) {
    budget.used(events * call.tokensPerEvent());
  }

  // Ends.

  private void finishStream() {
    if (!route.retained()) {
      endStream();
      return;
    }
    record.waitBegan(CallRecord.Wait.KEEP);
    retainedTurn.keep(relay.output(), this::onTurnKept);
  }

  private void onTurnKept(boolean kept) {
    if (over) {
      return;
    }
    record.waitEnded(CallRecord.Wait.KEEP);
    if (kept) {
      endStream();
    } else if (relay.begun()) {
      abort("turn not kept");
    } else {
      refuse(ErrorKind.BACKEND_FAILED, 0, "turn not kept");
    }
  }

  private void endStream() {
    over = true;
    relay.end();
    ended(200, "streamed");
  }

  private void onDeadline() {
    if (over) {
      return;
    }
    attempts.cancel("deadline");
    if (relay.begun()) {
      abort("deadline");
    } else if (attempts.runs() == 0) {
      // No engine has it: what may run only once may be sent again after this.
      refuse(ErrorKind.OVERLOADED, BUSY_RETRY_MILLIS, "deadline before it was sent");
    } else {
      refuse(ErrorKind.DEADLINE_PASSED, 0, "deadline");
    }
  }

  /** The caller's connection is gone: nothing of this request is to go on. */
  public void callerDisconnected() {
    if (over) {
      return;
    }
    over = true;
    cancelAttempt("caller_left");
    ended(ErrorKind.CANCELLED.httpStatus(), "caller_left");
  }

  private void cancelAttempt(String outcome) {
    if (attempts != null) {
      attempts.cancel(outcome);
    }
  }

  private void abort(String detail) {
    over = true;
    cancelAttempt("aborted");
    relay.abort();
    ended(0, "aborted: " + detail);
  }

  private void refuse(ErrorKind kind, long aboutMillis, String detail) {
    refuse(new Refusal(kind, context.admission().retryDelay().around(aboutMillis), detail));
  }

  private void refuse(Refusal refusal) {
    over = true;
    cancelAttempt("refused");
    responder.refuse(refusal);
    ended(refusal.kind().httpStatus(), "refused: " + refusal.detail());
  }

  private void ended(int status, String outcome) {
    if (deadlineTimer != null) {
      deadlineTimer.cancel();
    }
    if (budget != null) {
      budget.close();
    }
    record.callEnded(end(status, outcome));
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
