package org.baykeel.gateway.call;

import java.util.HashSet;
import java.util.Set;
import org.baykeel.core.error.ErrorKind;
import org.baykeel.gateway.buffering.ResponseSource;
import org.baykeel.gateway.directory.Engine;
import org.baykeel.gateway.residency.Residency;
import org.baykeel.gateway.runtime.EventLoop;
import org.baykeel.gateway.scheduling.EngineSelector;

/**
 * The attempts of one request, one after the other, at engines of its service: the choice of an
 * engine, the wait for room, and whether a failed attempt is followed by another.
 *
 * <p>Invariant: a request that may run only once is sent again only if the engine states that it
 * did not run it or if not one byte of it was sent.
 */
final class AttemptSequence implements EngineAttempt.Owner, ResponseSource, WaitQueue.Waiter {
  /** Engines that are asked one after the other before the request waits for room. */
  private static final int MAX_SENDS = 6;

  private static final long BUSY_RETRY_MILLIS = 150;

  /** The shortest wait after a round of engines that did not take the request. */
  private static final long MIN_WAIT_MILLIS = 10;

  /** What is kept of a request's time for its work at least, when it waits for room. */
  private static final long MIN_WORK_MILLIS = 20;

  /** Hears what the attempts come to; exactly one of the last three ends them. */
  interface Owner {
    /** A whole event of a stream. */
    void onStreamEvent(StreamEvent event);

    /** The stream is whole. */
    void onStreamComplete();

    /** A whole answer that is not a stream. */
    void onWholeResponse(ResponseHead head, byte[] body);

    /**
     * No attempt follows.
     *
     * @param retryMillis after which time the caller may come back; 0 if it should not
     */
    void onAttemptsFailed(ErrorKind kind, long retryMillis, String detail);
  }

  private final GatewayContext context;
  private final AuthorizedCall call;
  private final CallRecord record;
  private final ResponseRelay relay;
  private final Owner owner;
  private final EventLoop eventLoop;
  private final Set<String> triedEngines = new HashSet<>();
  private final WaitQueue waitQueue;
  private final EngineSelector.Criteria criteria;
  private final SilenceWatch silenceWatch;
  private byte[] engineBody;
  private WaitQueue.Ticket waitTicket;
  private EngineAttempt attempt;
  private int sends;
  private int sendsInRound;
  private int runs;
  private long retryNotBeforeNanos;
  private boolean anyEngineFull;
  private boolean ended;

  AttemptSequence(
      GatewayContext context,
      WaitQueue waitQueue,
      AuthorizedCall call,
      CallRecord record,
      ResponseRelay relay,
      Owner owner) {
    this.context = context;
    this.call = call;
    this.record = record;
    this.relay = relay;
    this.owner = owner;
    this.eventLoop = context.eventLoop();
    this.retryNotBeforeNanos = eventLoop.nanoTime();
    this.waitQueue = waitQueue;
    this.criteria = criteria(call);
    this.silenceWatch = new SilenceWatch(eventLoop, call.route(), this::onSilence);
  }

  /**
   * Sends the request to an engine, after those that wait for room already.
   *
   * @param body the body for engines
   */
  void start(byte[] body) {
    engineBody = body;
    if (!waitQueue.hasWaiting(requirement()) || !waitForCapacity()) {
      dispatch();
    }
  }

  /** Whether the request was sent or waits for room to be sent. */
  boolean started() {
    return engineBody != null;
  }

  /** How often the request was sent. */
  int sends() {
    return sends;
  }

  /** How often it was sent less those sends after which it certainly did not run. */
  int runs() {
    return runs;
  }

  /** When the first event arrived; 0 if none did. */
  long firstEventNanos() {
    return silenceWatch.firstEventNanos();
  }

  /** Cancels what is under way; may be repeated. */
  void cancel(String outcome) {
    if (attempt != null) {
      attempt.cancel();
      endAttempt(outcome);
    }
  }

  /** The request is over: nothing more is sent. */
  void end() {
    ended = true;
    if (waitTicket != null) {
      waitTicket.leave();
    }
    silenceWatch.end();
  }

  private void dispatch() {
    long now = eventLoop.nanoTime();
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
    int rank =
        context.urgency().rankOf(call.request().ranked(call.route(), call.caller(), now), now);
    record.sentTo(choice, call.attributes().prompt(), rank);
    triedEngines.add(engine.record().id());
    attempt =
        new EngineAttempt(
            engine,
            call.attributes().prompt(),
            call.tokensPerEvent(),
            eventLoop,
            context.admission(),
            this);
    long remainingMillis = Math.max(1, (call.deadlineNanos() - now) / 1_000_000);
    attempt.send(
        context.transport(),
        new EngineRequest(
            call.request(), engineBody, remainingMillis, call.caller(), relay.lastEventId(), rank));
    relay.readFrom(this);
    silenceWatch.sent();
  }

  /** While the caller reads nothing, the engine is not listened to and can't fall silent. */
  @Override
  public void pause() {
    silenceWatch.pause();
    if (attempt != null) {
      attempt.pause();
    }
  }

  @Override
  public void resume() {
    silenceWatch.resume();
    if (attempt != null) {
      attempt.resume();
    }
  }

  private static EngineSelector.Criteria criteria(AuthorizedCall call) {
    return new EngineSelector.Criteria(
        call.service(),
        call.attributes().prompt(),
        call.attributes().programOrObject(call.stream()),
        call.route().repeatable(),
        call.residency(),
        Math.max(0, call.attributes().maxOutputTokens()));
  }

  private void onNoEngine() {
    retryNotBeforeNanos = eventLoop.nanoTime() + MIN_WAIT_MILLIS * 1_000_000;
    boolean onlyFailures = sendsInRound >= MAX_SENDS && !anyEngineFull;
    if (onlyFailures || !waitForCapacity()) {
      onNoCapacity();
    }
  }

  /**
   * Waits until an engine is expected to have a place.
   *
   * @return false if no engine takes work, or the time for waiting is over
   */
  private boolean waitForCapacity() {
    long nextCapacityNanos = nextCapacityNanos();
    long giveUpNanos = giveUpNanos();
    if (nextCapacityNanos == Long.MAX_VALUE || nextCapacityNanos - giveUpNanos >= 0) {
      return false;
    }
    waitTicket = waitQueue.add(requirement(), canMeetTarget(), dueNanos(), giveUpNanos, this);
    return true;
  }

  @Override
  public long nextCapacityNanos() {
    long now = eventLoop.nanoTime();
    long nextCapacityNanos = context.selector().nextCapacityNanos(criteria, triedEngines, now);
    return Math.max(nextCapacityNanos, retryNotBeforeNanos);
  }

  private WaitQueue.Requirement requirement() {
    return new WaitQueue.Requirement(call.service(), call.residency(), call.route().repeatable());
  }

  /** Whether the request came early enough to end before its program is to be over. */
  private boolean canMeetTarget() {
    return call.attributes().finishMillis() > workMillis();
  }

  /** The usual time of its work. */
  private double workMillis() {
    return Math.max(MIN_WORK_MILLIS, context.selector().usualResponseMillis(criteria));
  }

  /** When the program is to be over or the caller no longer waits, whichever is first. */
  private long dueNanos() {
    long finishTargetNanos =
        call.request().receivedNanos() + call.attributes().finishMillis() * 1_000_000;
    return canMeetTarget()
        ? Math.min(finishTargetNanos, call.deadlineNanos())
        : call.deadlineNanos();
  }

  /**
   * When a wait for room must end, so that the work can still be done in its time: for what may run
   * only once, and would be lost with its program, in that of its caller; for other requests also
   * in what is left of the program's aim.
   */
  private long giveUpNanos() {
    long limitNanos = call.route().repeatable() ? dueNanos() : call.deadlineNanos();
    return limitNanos - Math.round(workMillis() * 1e6);
  }

  private void onNoCapacity() {
    if (relay.headSent() || runs > 0) {
      owner.onAttemptsFailed(ErrorKind.BACKEND_FAILED, 0, "no engine left");
    } else {
      failWithoutEngine();
    }
  }

  private void failWithoutEngine() {
    Residency allowed = call.residency();
    ErrorKind kind = allowed.bound() ? ErrorKind.RESIDENCY : ErrorKind.NO_BACKEND;
    String where = allowed.bound() ? " in " + allowed : "";
    owner.onAttemptsFailed(kind, BUSY_RETRY_MILLIS, "no engine takes work" + where);
  }

  @Override
  public void onCapacityExpected() {
    triedEngines.clear();
    anyEngineFull = false;
    sendsInRound = 0;
    dispatch();
  }

  @Override
  public void onWaitTooLong() {
    onNoCapacity();
  }

  private void onSilence() {
    if (ended || attempt == null || !mayRunAgain()) {
      return;
    }
    attempt.engine().failed(eventLoop.nanoTime());
    cancel("silent");
    dispatch();
  }

  private boolean mayRunAgain() {
    return call.route().repeatable() && runs < call.route().attempts();
  }

  private void endAttempt(String outcome) {
    EngineAttempt finished = attempt;
    attempt = null;
    finished.close();
    waitQueue.onSlotFree(requirement());
    if (!outcome.equals("complete")) {
      record.attemptEnded(finished, outcome, relay.eventsSent());
    }
  }

  @Override
  public int waitingForCapacity() {
    return waitQueue.waiting(requirement());
  }

  @Override
  public void onAttemptProgress() {
    silenceWatch.dataReceived();
  }

  @Override
  public void onStreamHead(ResponseHead head) {
    relay.setHead(head);
  }

  @Override
  public void onStreamEvent(StreamEvent event) {
    silenceWatch.eventReceived();
    owner.onStreamEvent(event);
  }

  @Override
  public void onStreamComplete() {
    endAttempt("complete");
    owner.onStreamComplete();
  }

  @Override
  public void onNotRun(EngineAttempt.NotRun reason, String outcome) {
    runs--;
    if (reason == EngineAttempt.NotRun.FULL) {
      // It may be asked again once it is expected to have a place.
      anyEngineFull = true;
      triedEngines.remove(attempt.engine().record().id());
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
    } else {
      boolean repeatable = call.route().repeatable();
      ErrorKind kind = repeatable ? ErrorKind.BACKEND_FAILED : ErrorKind.OUTCOME_UNKNOWN;
      owner.onAttemptsFailed(kind, 0, detail);
    }
  }

  @Override
  public void onWholeResponse(ResponseHead head, byte[] body) {
    if (relay.headSent()) {
      onBroken("status " + head.status() + " in place of the rest");
      return;
    }
    boolean engineFailed = head.status() >= 500;
    if (engineFailed && mayRunAgain() && sends < 2) {
      attempt.engine().serverErrorReceived(eventLoop.nanoTime());
      endAttempt("status_" + head.status());
      dispatch();
      return;
    }
    if (!engineFailed) {
      attempt.engine().succeeded();
    }
    endAttempt("complete");
    owner.onWholeResponse(head, body);
  }
}
