package org.baykeel.gateway.call;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import org.baykeel.core.error.ErrorKind;
import org.baykeel.gateway.buffering.EngineBody;
import org.baykeel.gateway.buffering.ResponseBytesLimiter;
import org.baykeel.gateway.buffering.ResponseSource;
import org.baykeel.gateway.directory.Engine;
import org.baykeel.gateway.directory.SoftwareVersion;
import org.baykeel.gateway.quarantine.EngineRun;
import org.baykeel.gateway.quarantine.Verdict;
import org.baykeel.gateway.runtime.EventLoop;
import org.baykeel.gateway.scheduling.EngineSelector;

/**
 * The attempts of one call, one after the other, at engines of its service: selects an engine,
 * waits for capacity, and decides whether a failed attempt is followed by another.
 *
 * <p>Invariants: a request that may run only once is sent again only if the engine states that it
 * did not run it, or if not one byte of it was sent; once a stream has an event, it continues only
 * at engines of the software version that produced it.
 */
final class AttemptSequence implements EngineAttempt.Owner, ResponseSource, WaitQueue.Waiter {
  /** Engines that are tried one after the other before the request waits for capacity. */
  private static final int MAX_SENDS_PER_ROUND = 6;

  private static final long UNDECIDED_RETRY_MILLIS = 20;

  /** The shortest wait after a round of engines that did not take the request. */
  private static final long MIN_WAIT_MILLIS = 10;

  /** Receives the outcome of the attempts; exactly one of the last three methods ends them. */
  interface Owner {
    /** A complete event of a stream. */
    void onStreamEvent(StreamEvent event);

    /** The stream is complete. */
    void onStreamComplete();

    /** A complete response that is not a stream. */
    void onWholeResponse(ResponseHead head, byte[] body);

    /**
     * No further attempt follows.
     *
     * @param retryMillis when the caller may retry, in milliseconds; 0 if it should not
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
  private final SilenceWatch silenceWatch;
  private final CallQuarantine quarantine;
  private final AttemptFailures failures;
  private EngineSelector.Criteria criteria;
  private EngineBody engineBody;
  private WaitQueue.Ticket waitTicket;
  private EngineAttempt attempt;
  private int sends;
  private int sendsInRound;
  private int runs;
  private long retryNotBeforeNanos;
  private boolean anyEngineFull;
  private boolean hasEvents;
  private ResponseBytesLimiter.Response storedOutput;
  private boolean responseTooLarge;
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
    this.quarantine = new CallQuarantine(context, call);
    this.failures = new AttemptFailures(context, call, record, quarantine);
  }

  /**
   * Restricts the attempts to engines of the software version at which the stream began.
   *
   * @param version the version
   */
  void continueAt(SoftwareVersion version) {
    hasEvents = true;
    criteria = criteria.requiring(version);
  }

  /**
   * Sends the request to an engine, after the requests that already wait for capacity.
   *
   * @param body the body for engines, which is released as soon as no attempt can follow
   */
  void start(EngineBody body) {
    engineBody = body;
    quarantine.setBody(body);
    boolean mayWait = quarantine.verdict().sendable() && waitQueue.hasWaiting(requirement());
    if (!mayWait || !waitForCapacity()) {
      dispatch();
    }
  }

  /** Whether the request was sent or waits for capacity. */
  boolean started() {
    return engineBody != null;
  }

  /** How often the request was sent. */
  int sends() {
    return sends;
  }

  /** How often the request was sent, without the sends after which it certainly did not run. */
  int runs() {
    return runs;
  }

  /** When the first event arrived; 0 if none did. */
  long firstEventNanos() {
    return silenceWatch.firstEventNanos();
  }

  /** Cancels the current attempt, if any; idempotent. */
  void cancel(String outcome) {
    if (attempt != null) {
      boolean sent = !attempt.connectionUse().equals(ConnectionUse.NONE);
      attempt.cancel();
      quarantine.identify();
      endAttempt(outcome, sent ? EngineRun::abandoned : EngineRun::closed);
    }
  }

  /** Ends the attempts: nothing more is sent. */
  void end() {
    ended = true;
    quarantine.withdrawClaim();
    if (waitTicket != null) {
      waitTicket.leave();
    }
    if (storedOutput != null) {
      storedOutput.close();
    }
    silenceWatch.end();
  }

  private void dispatch() {
    switch (quarantine.claim()) {
      case FATAL -> fail(failures.fatal(runs));
      case HELD -> fail(failures.held(runs));
      case UNDECIDED -> eventLoop.schedule(UNDECIDED_RETRY_MILLIS, this::dispatchUnlessEnded);
      case CLEAR, SUSPECT -> sendToEngine();
    }
  }

  private void dispatchUnlessEnded() {
    if (!ended) {
      dispatch();
    }
  }

  private void fail(AttemptFailures.Failure failure) {
    owner.onAttemptsFailed(failure.kind(), failure.retryMillis(), failure.detail());
  }

  private void sendToEngine() {
    if (endsBeforeResponse()) {
      quarantine.withdrawClaim();
      onNoCapacity();
      return;
    }
    long now = eventLoop.nanoTime();
    EngineSelector.Choice choice =
        sendsInRound >= MAX_SENDS_PER_ROUND ? null : quarantine.choose(criteria, triedEngines, now);
    if (choice == null) {
      quarantine.withdrawClaim();
      onNoEngine();
      return;
    }
    Engine engine = choice.engine();
    quarantine.sent(engine);
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
            context.responseBytes(),
            this);
    long remainingMillis = Math.max(1, (call.deadlineNanos() - now) / 1_000_000);
    attempt.send(
        context.transport(),
        new EngineRequest(
            call.request(), engineBody, remainingMillis, call.caller(), relay.lastEventId(), rank));
    relay.readFrom(this);
    silenceWatch.sent();
  }

  /**
   * While the caller does not read, the engine is not read either, so its silence does not count.
   */
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
    boolean onlyFailures = sendsInRound >= MAX_SENDS_PER_ROUND && !anyEngineFull;
    if (onlyFailures || !waitForCapacity()) {
      onNoCapacity();
    }
  }

  /**
   * Waits until an engine is expected to have a free slot.
   *
   * @return false if no engine takes work, or if a slot is expected only after the time limit
   */
  private boolean waitForCapacity() {
    long nextCapacityNanos = nextCapacityNanos();
    WaitLimits limits = new WaitLimits(call, context.selector().usualResponseMillis(criteria));
    long giveUpNanos = limits.giveUpNanos();
    if (nextCapacityNanos == Long.MAX_VALUE || nextCapacityNanos - giveUpNanos >= 0) {
      return false;
    }
    waitTicket =
        waitQueue.add(requirement(), limits.canMeetTarget(), limits.dueNanos(), giveUpNanos, this);
    return true;
  }

  @Override
  public long nextCapacityNanos() {
    long now = eventLoop.nanoTime();
    long nextCapacityNanos = context.selector().nextCapacityNanos(criteria, triedEngines, now);
    return Math.max(nextCapacityNanos, retryNotBeforeNanos);
  }

  private WaitQueue.Requirement requirement() {
    return new WaitQueue.Requirement(
        call.service(), call.residency(), call.route().repeatable(), criteria.requiredVersion());
  }

  private WaitQueue.Requirement requirementOfAnyVersion() {
    return new WaitQueue.Requirement(call.service(), call.residency(), call.route().repeatable());
  }

  private void onNoCapacity() {
    if (relay.headSent() || runs > 0) {
      owner.onAttemptsFailed(ErrorKind.BACKEND_FAILED, 0, "no engine left to try");
    } else {
      failWithoutEngine();
    }
  }

  /** Returns the usual time from a send of such a request to its complete response, in ms. */
  long usualResponseMillis() {
    return (long) Math.ceil(context.selector().usualResponseMillis(criteria));
  }

  /** Whether a planned stop ends the process before a response is expected. */
  @Override
  public boolean endsBeforeResponse() {
    return runs == 0
        && context.state().endsWithin(context.selector().usualResponseMillis(criteria));
  }

  private void failWithoutEngine() {
    if (endsBeforeResponse()) {
      owner.onAttemptsFailed(
          ErrorKind.STOPPING,
          StopSchedule.RETRY_MILLIS,
          "node stops before a response is expected");
      return;
    }
    fail(failures.withoutEngine(criteria));
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
    boolean versionKnown = !hasEvents || criteria.requiredVersion().isPresent();
    return call.route().repeatable() && runs < call.route().attempts() && versionKnown;
  }

  /**
   * Ends the current attempt.
   *
   * @param runEnd records what became of its run
   */
  private void endAttempt(String outcome, Consumer<EngineRun> runEnd) {
    EngineAttempt finished = attempt;
    attempt = null;
    finished.close();
    runEnd.accept(quarantine.takeRun());
    waitQueue.onSlotFree(requirementOfAnyVersion());
    if (criteria.requiredVersion().isPresent()) {
      waitQueue.onSlotFree(requirement());
    }
    if (!outcome.equals("complete")) {
      record.attemptEnded(finished, outcome, relay.eventsSent(), quarantine.knownFingerprint());
    }
  }

  @Override
  public int waitingForCapacity() {
    return waitQueue.waiting(requirementOfAnyVersion());
  }

  @Override
  public void onAttemptProgress() {
    silenceWatch.dataReceived();
  }

  @Override
  public void onQuarantineChanged() {
    if (quarantine.verdict() == Verdict.FATAL) {
      waitTicket.leave();
      fail(failures.fatal(runs));
    }
  }

  @Override
  public void onStreamHead(ResponseHead head) {
    quarantine.responded(attempt);
    releaseBodyIfUnneeded();
    if (relay.setHead(head)) {
      record.responseTaken(attempt);
    }
  }

  @Override
  public void onStreamEvent(StreamEvent event) {
    silenceWatch.eventReceived();
    releaseBodyIfUnneeded();
    if (!hasEvents) {
      hasEvents = true;
      attempt.softwareVersion().ifPresent(this::recordBegin);
    }
    owner.onStreamEvent(event);
    if (!ended && relay.outputBytes() > 0) {
      countOutput();
    }
  }

  /** The output that is to be stored is counted from its first event to the end of the call. */
  private void countOutput() {
    if (storedOutput == null) {
      storedOutput = context.responseBytes().open(this, this::onOutputTooLarge);
    }
    storedOutput.hold(relay.outputBytes());
  }

  private void onOutputTooLarge(String detail) {
    storedOutput = null;
    if (attempt != null) {
      attempt.cancel();
      onResponseTooLarge("stream to be stored: " + detail);
    } else if (!ended) {
      owner.onAttemptsFailed(ErrorKind.RESPONSE_TOO_LARGE, 0, "stream to be stored: " + detail);
    }
  }

  /** A stream that may run only once is not sent again after its head. */
  private void releaseBodyIfUnneeded() {
    if (!call.route().repeatable() && attempt.isRequestWritten()) {
      releaseBody();
    }
  }

  private void releaseBody() {
    quarantine.identify();
    engineBody.release();
  }

  private void recordBegin(SoftwareVersion version) {
    criteria = criteria.requiring(version);
    if (call.route().resumable()) {
      String requestId = call.attributes().requestId();
      context.streamVersions().recordBegin(requestId, call.service(), version);
    }
  }

  @Override
  public void onStreamComplete() {
    endAttempt("complete", EngineRun::completed);
    quarantine.completed();
    context.streamVersions().recordComplete(call.attributes().requestId());
    releaseBody();
    owner.onStreamComplete();
  }

  @Override
  public void onNotRun(EngineAttempt.NotRun reason, String outcome) {
    runs--;
    if (reason == EngineAttempt.NotRun.FULL) {
      // The engine may be tried again once it is expected to have a free slot.
      anyEngineFull = true;
      quarantine.responded(attempt);
      triedEngines.remove(attempt.engine().record().id());
    }
    endAttempt(outcome, EngineRun::closed);
    dispatch();
  }

  /**
   * The next send, or the response to the caller, waits until it is known whether the engine ended
   * under the request: a caller's next try may reach another node at once.
   */
  @Override
  public void onConnectionLost(String detail) {
    attempt.engine().failed(eventLoop.nanoTime());
    quarantine.identify();
    endAttempt("broken " + detail, run -> run.connectionLost(() -> onEngineChecked(detail)));
  }

  private void onEngineChecked(String detail) {
    if (ended) {
      return;
    }
    if (quarantine.verdict() == Verdict.UNDECIDED) {
      eventLoop.schedule(UNDECIDED_RETRY_MILLIS, () -> onEngineChecked(detail));
    } else {
      continueAfterFailure(detail);
    }
  }

  @Override
  public void onBroken(String detail) {
    endUnusable(detail);
    continueAfterFailure(detail);
  }

  @Override
  public void onResponseTooLarge(String detail) {
    endUnusable(detail);
    responseTooLarge = true;
    continueAfterFailure(detail);
  }

  private void endUnusable(String detail) {
    attempt.engine().failed(eventLoop.nanoTime());
    quarantine.identify();
    endAttempt("broken " + detail, EngineRun::abandoned);
  }

  private void continueAfterFailure(String detail) {
    if (quarantine.verdict() == Verdict.FATAL) {
      fail(failures.fatal(runs));
    } else if (mayRunAgain()) {
      dispatch();
    } else if (responseTooLarge) {
      owner.onAttemptsFailed(ErrorKind.RESPONSE_TOO_LARGE, 0, detail);
    } else {
      fail(failures.afterRun(detail));
    }
  }

  @Override
  public void onWholeResponse(ResponseHead head, byte[] body) {
    if (relay.headSent()) {
      onBroken("status " + head.status() + " instead of the rest of the stream");
      return;
    }
    if (!call.route().repeatable() && head.impliesNotRunWithoutProof()) {
      onBroken("status " + head.status() + " without a statement that the request did not run");
      return;
    }
    quarantine.responded(attempt);
    boolean engineFailed = head.status() >= 500;
    if (engineFailed && mayRunAgain() && sends < 2) {
      attempt.engine().serverErrorReceived(eventLoop.nanoTime());
      endAttempt("status_" + head.status(), EngineRun::closed);
      dispatch();
      return;
    }
    if (!engineFailed) {
      attempt.engine().succeeded();
      quarantine.completed();
    }
    record.responseTaken(attempt);
    endAttempt("complete", engineFailed ? EngineRun::closed : EngineRun::completed);
    owner.onWholeResponse(head, body);
  }
}
