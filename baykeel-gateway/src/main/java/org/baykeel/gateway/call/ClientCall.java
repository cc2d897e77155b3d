package org.baykeel.gateway.call;

import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import org.baykeel.core.error.ErrorKind;
import org.baykeel.gateway.budget.Grant;
import org.baykeel.gateway.configuration.Route;
import org.baykeel.gateway.configuration.RouteKind;
import org.baykeel.gateway.configuration.ServiceProfile;
import org.baykeel.gateway.directory.Engine;
import org.baykeel.gateway.history.KeptTurn;
import org.baykeel.gateway.history.TurnHistory.Lookup;
import org.baykeel.gateway.program.ProgramId;
import org.baykeel.gateway.residency.Residency;
import org.baykeel.gateway.runtime.EventLoop;
import org.baykeel.gateway.scheduling.EngineSelector;
import org.baykeel.gateway.tenancy.Caller;

/**
 * One request from its arrival to its final answer.
 *
 * <p>Invariants: a request that may run only once is sent again only if the engine states that it
 * did not run it or if not one byte of it was sent; a refusal with a promise of not having run is
 * given only while that is true; no event reaches the caller before its tokens are granted; a kept
 * turn ends only after the store has it.
 */
public final class ClientCall implements EngineAttempt.Owner {
  /** Engines that are asked one after the other before the request waits for room. */
  private static final int MAX_SENDS = 6;

  private static final long LOOKUP_PATIENCE_MILLIS = 1_000;
  private static final long BUSY_RETRY_MILLIS = 150;
  private static final long OVERLOADED_RETRY_MILLIS = 400;
  private static final long STORE_RETRY_MILLIS = 800;
  private static final long FULL_PENALTY_MILLIS = 30;

  private final GatewayContext context;
  private final CallRequest request;
  private final CallResponder responder;
  private final EventLoop eventLoop;
  private final CallRecord record;
  private final Set<String> triedEngines = new HashSet<>();
  private Route route;
  private Caller caller;
  private String service;
  private int tokensPerEvent;
  private AnswerRelay relay;
  private byte[] engineBody;
  private List<String> ancestors = List.of();
  private TurnBudget budget;
  private EngineAttempt attempt;
  private EventLoop.Timer deadlineTimer;
  private RoomWait roomWait;
  private SilenceWatch silenceWatch;
  private long deadlineNanos;
  private int sends;
  private int sendsInRound;
  private int runs;
  private boolean streamComplete;
  private boolean over;

  ClientCall(GatewayContext context, CallRequest request, CallResponder responder) {
    this.context = context;
    this.request = request;
    this.responder = responder;
    this.eventLoop = context.eventLoop();
    this.record = new CallRecord(request, context.log(), context.metrics(), eventLoop);
  }

  void start() {
    record.waitBegan(CallRecord.Wait.ADMISSION);
    new Admission(context, request, this::onAdmission).begin();
  }

  private void onAdmission(Admission.Outcome outcome) {
    if (over) {
      return;
    }
    record.waitEnded(CallRecord.Wait.ADMISSION);
    if (outcome instanceof Admission.Outcome.Refused refused) {
      route = refused.route();
      record.tenant(refused.tenant());
      Refusal refusal = refused.refusal();
      refuse(refusal.kind(), refusal.retryAfterMillis(), refusal.detail());
    } else {
      begin((Admission.Outcome.Admitted) outcome);
    }
  }

  private void begin(Admission.Outcome.Admitted admitted) {
    route = admitted.route();
    caller = admitted.caller();
    budget = new TurnBudget(context, attributes(), route, caller);
    record.tenant(caller.name());
    long patience = attributes().patienceMillis(route.timeoutMillis());
    deadlineNanos = request.receivedNanos() + patience * 1_000_000;
    long leftMillis = Math.max(0, (deadlineNanos - eventLoop.nanoTime()) / 1_000_000);
    deadlineTimer = eventLoop.schedule(leftMillis, this::onDeadline);
    service = context.backendChooser().choose(route, attributes().lineOrObject(stream()));
    ServiceProfile profile = admitted.configuration().service(service);
    tokensPerEvent = profile == null ? 0 : profile.tokensPerEvent();
    roomWait = new RoomWait(eventLoop, request.receivedNanos(), patience);
    silenceWatch = new SilenceWatch(eventLoop, route, this::onSilence);
    relay = new AnswerRelay(responder, silenceWatch, attributes().lastEventId(), route.retained());
    if (budgetAndStoreAllow()) {
      findHistory();
    }
  }

  private CallAttributes attributes() {
    return request.attributes();
  }

  private boolean stream() {
    return route.kind() == RouteKind.STREAMING;
  }

  // The budget and the history of the turn.

  private boolean budgetAndStoreAllow() {
    if (!stream()) {
      return true;
    }
    if (route.retained() && mustNotWaitForStore()) {
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
    Grant grant = budget.reserve(deadlineNanos, this::onGrantDecided);
    if (grant == Grant.EXHAUSTED) {
      refuse(ErrorKind.BUDGET_EXCEEDED, 0, "budget spent");
      return false;
    }
    if (grant == Grant.PENDING && mustNotWaitForStore()) {
      refuse(ErrorKind.STORE_UNAVAILABLE, STORE_RETRY_MILLIS, "no grant without store");
      return false;
    }
    if (grant == Grant.GRANTED) {
      relay.open();
    } else {
      record.waitBegan(CallRecord.Wait.GRANT);
    }
    return true;
  }

  /**
   * While the store is away, a turn runs and its events wait for the store; that is worth an
   * engine's time only if engines have time to spare.
   */
  private boolean mustNotWaitForStore() {
    return !context.storeHealth().reachable()
        && !context.congestion().timeToSpare(route.targetLatencyMillis(), eventLoop.nanoTime());
  }

  private void findHistory() {
    if (!route.retained() || attributes().previousTurn() == null) {
      onReadyToSend(request.body());
      return;
    }
    long giveUp = eventLoop.nanoTime() + LOOKUP_PATIENCE_MILLIS * 1_000_000;
    record.waitBegan(CallRecord.Wait.HISTORY);
    String programId = Objects.requireNonNullElse(attributes().programId(), "");
    ProgramId program = new ProgramId(caller.scoped(programId));
    String previousTurn = caller.scoped(attributes().previousTurn());
    context.history().find(program, previousTurn, giveUp, this::onHistory);
  }

  private void onHistory(Lookup lookup) {
    if (over) {
      return;
    }
    record.waitEnded(CallRecord.Wait.HISTORY);
    if (lookup instanceof Lookup.Found found) {
      ancestors = found.ids();
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
      dispatch();
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
    } else if (budget.opensInCongestion() && sends == 0) {
      refuse(ErrorKind.OVERLOADED, OVERLOADED_RETRY_MILLIS, "engines keep work waiting");
    } else if (engineBody != null && sends == 0) {
      dispatch();
    }
  }

  private void onNotGranted(ErrorKind kind, long retryMillis, String detail) {
    if (sends == 0) {
      refuse(kind, retryMillis, detail);
    } else {
      // The engine may have begun: nothing that promises the contrary may be said.
      refuse(ErrorKind.BACKEND_FAILED, 0, detail);
    }
  }

  // Attempts.

  private void dispatch() {
    long now = eventLoop.nanoTime();
    EngineSelector.Criteria criteria =
        new EngineSelector.Criteria(
            service,
            attributes().prompt(),
            attributes().programOrObject(stream()),
            route.repeatable(),
            residency());
    EngineSelector.Choice choice =
        sendsInRound >= MAX_SENDS ? null : context.selector().choose(criteria, triedEngines, now);
    if (choice == null) {
      onNoEngine();
      return;
    }
    Engine engine = choice.engine();
    sends++;
    sendsInRound++;
    runs++;
    record.sentTo(choice, attributes().prompt());
    triedEngines.add(engine.record().id());
    attempt =
        new EngineAttempt(
            engine, attributes().prompt(), tokensPerEvent, eventLoop, context.congestion(), this);
    long remaining = Math.max(1, (deadlineNanos - now) / 1_000_000);
    attempt.send(
        context.transport(),
        new EngineRequest(request, engineBody, remaining, caller, relay.lastEventId()));
    relay.readsFrom(attempt);
    silenceWatch.sent();
  }

  private Residency residency() {
    return route.residency().and(caller.residency());
  }

  private void onNoEngine() {
    if (relay.begun()) {
      abort("no engine left");
    } else if (runs > 0) {
      refuse(ErrorKind.BACKEND_FAILED, 0, "no engine left");
    } else if (!roomWait.begin(this::tryAgain)) {
      refuseWithoutEngine();
    }
  }

  private void refuseWithoutEngine() {
    Residency allowed = residency();
    if (allowed.bound()) {
      refuse(ErrorKind.RESIDENCY, BUSY_RETRY_MILLIS, "no engine takes work in " + allowed);
    } else {
      refuse(ErrorKind.NO_BACKEND, BUSY_RETRY_MILLIS, "no engine takes work");
    }
  }

  private void tryAgain() {
    if (over) {
      return;
    }
    triedEngines.clear();
    sendsInRound = 0;
    dispatch();
  }

  private void onSilence() {
    if (over || streamComplete || attempt == null || !mayRunAgain()) {
      return;
    }
    attempt.engine().failed(eventLoop.nanoTime());
    attempt.cancel();
    endAttempt("silent");
    dispatch();
  }

  private boolean mayRunAgain() {
    return route.repeatable() && runs < route.attempts();
  }

  // What the attempt tells.

  @Override
  public void onAttemptProgress() {
    silenceWatch.heard();
  }

  @Override
  public void onStreamHead(AnswerHead head) {
    relay.head(head);
  }

  @Override
  public void onStreamEvent(StreamEvent event) {
    silenceWatch.event();
    if (relay.event(event)) {
      noteEventsPassed(1);
    }
  }

  @Override
  public void onStreamComplete() {
    endAttempt("complete");
    streamComplete = true;
    if (budget.grant() == Grant.GRANTED) {
      finishStream();
    }
  }

  @Override
  public void onNotRun(EngineAttempt.NotRun reason, String outcome) {
    runs--;
    if (reason == EngineAttempt.NotRun.FULL) {
      roomWait.full(attempt.engine());
    }
    endAttempt(outcome);
    dispatch();
  }

  @Override
  public void onBroken(String detail) {
    attempt.engine().failed(eventLoop.nanoTime());
    endAttempt("broken " + detail);
    if (mayRunAgain()) {
      dispatch();
    } else if (relay.begun()) {
      abort(detail);
    } else {
      refuse(route.repeatable() ? ErrorKind.BACKEND_FAILED : ErrorKind.OUTCOME_UNKNOWN, 0, detail);
    }
  }

  @Override
  public void onWholeAnswer(AnswerHead head, byte[] body) {
    if (relay.begun()) {
      onBroken("status " + head.status() + " in place of the rest");
      return;
    }
    boolean engineFailed = head.status() >= 500;
    if (engineFailed && mayRunAgain() && sends < 2) {
      attempt.engine().full(eventLoop.nanoTime(), FULL_PENALTY_MILLIS);
      endAttempt("status_" + head.status());
      dispatch();
      return;
    }
    if (!engineFailed) {
      attempt.engine().succeeded();
    }
    endAttempt("complete");
    over = true;
    responder.answer(head, body);
    ended(head.status(), "answered");
  }

  private void endAttempt(String outcome) {
    EngineAttempt ended = attempt;
    attempt = null;
    ended.close();
    if (!outcome.equals("complete")) {
      record.attemptEnded(ended, outcome, relay.eventsPassed());
    }
  }

  private void noteEventsPassed(int events) {
    budget.used(events * tokensPerEvent);
  }

  // Ends.

  private void finishStream() {
    if (!route.retained()) {
      endStream();
      return;
    }
    String turnId = caller.scoped(attributes().requestId());
    KeptTurn turn = new KeptTurn(turnId, ancestors, request.body(), relay.output());
    record.waitBegan(CallRecord.Wait.KEEP);
    context.history().keep(turn, deadlineNanos, this::onTurnKept);
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
    cancelAttempt("deadline");
    if (relay != null && relay.begun()) {
      abort("deadline");
    } else if (runs == 0) {
      // No engine has it: what may run only once may be sent again after this.
      refuse(ErrorKind.OVERLOADED, BUSY_RETRY_MILLIS, "deadline before it was sent");
    } else {
      refuse(ErrorKind.DEADLINE_PASSED, 0, "deadline");
    }
  }

  /** The caller's connection is gone: nothing of this request is to go on. */
  public void callerLeft() {
    if (over) {
      return;
    }
    over = true;
    cancelAttempt("caller_left");
    ended(ErrorKind.CANCELLED.httpStatus(), "caller_left");
  }

  private void cancelAttempt(String outcome) {
    if (attempt != null) {
      attempt.cancel();
      endAttempt(outcome);
    }
  }

  private void abort(String detail) {
    over = true;
    cancelAttempt("aborted");
    relay.abort();
    ended(0, "aborted: " + detail);
  }

  private void refuse(ErrorKind kind, long retryMillis, String detail) {
    over = true;
    cancelAttempt("refused");
    responder.refuse(new Refusal(kind, retryMillis, detail));
    ended(kind.httpStatus(), "refused: " + detail);
  }

  private void ended(int status, String outcome) {
    if (deadlineTimer != null) {
      deadlineTimer.cancel();
    }
    if (roomWait != null) {
      roomWait.end();
    }
    long firstEventNanos = 0;
    if (silenceWatch != null) {
      silenceWatch.end();
      firstEventNanos = silenceWatch.firstEventNanos();
    }
    if (budget != null) {
      budget.close();
    }
    int events = relay == null ? 0 : relay.close();
    record.callEnded(
        new CallRecord.End(route, status, outcome, firstEventNanos, sends, runs, events));
  }
}
