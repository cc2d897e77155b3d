package org.baykeel.core.program;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.baykeel.core.configuration.Declarations.Tool;
import org.baykeel.core.error.ErrorKind;
import org.baykeel.core.error.Execution;
import org.baykeel.core.message.AttemptFailure;
import org.baykeel.core.message.AttemptId;
import org.baykeel.core.message.CallKind;
import org.baykeel.core.message.CallerReply;
import org.baykeel.core.message.CallerRequest;
import org.baykeel.core.message.LogRecord;
import org.baykeel.core.message.LogRecord.AttemptFailed;
import org.baykeel.core.message.LogRecord.CallCompleted;
import org.baykeel.core.message.LogRecord.CallDispatched;
import org.baykeel.core.message.LogRecord.ProgramCreated;
import org.baykeel.core.message.LogRecord.ProgramEnded;
import org.baykeel.core.message.LogRecord.ProgramRecord;
import org.baykeel.core.message.Payload;
import org.baykeel.core.message.Usage;
import org.baykeel.core.scheduling.CallDemand;
import org.baykeel.core.scheduling.CallScheduler;
import org.baykeel.core.scheduling.EngineDirectory;

/**
 * The leader's side of a shard: takes callers' requests in order, dispatches them, and turns what
 * happens into records of the replicated log.
 *
 * <p>Invariant: a back end sees an attempt only after its dispatch record is committed, and a
 * caller sees an answer as complete only after its completion record is committed. Whatever a
 * deposed leader still does can therefore change nothing that counts.
 */
public final class ShardCoordinator {
  /** Releases, idle ends and forgetting look at every program, so they come seldom. */
  private static final int HOUSEKEEPING_MILLIS = 500;

  private final CoordinatorContext context;
  private final ProgramShard shard;
  private final CoordinatorSettings settings;
  private final EngineDirectory engines;
  private final CallScheduler scheduler;
  private final CoordinatorOutput output;
  private final CallAdmission admission;
  private final RefusalBarrier barrier;
  private final CacheReleaser releaser;
  private final ProgramLifecycle lifecycle;
  private final AttemptRunner attempts;
  private final Map<String, LiveProgram> programs = new HashMap<>();
  private long nextHousekeepingMillis;
  private boolean ready;
  private boolean draining;

  /** A coordinator that waits for its group to lead. */
  public ShardCoordinator(CoordinatorContext context) {
    this.context = requireNonNull(context, "context");
    this.shard = context.shard();
    this.settings = context.settings();
    this.engines = context.engines();
    this.scheduler = context.scheduler();
    this.output = context.output();
    this.admission = new CallAdmission(context.configuration());
    this.barrier = new RefusalBarrier(output);
    this.releaser = new CacheReleaser(shard, engines, output);
    this.lifecycle = new ProgramLifecycle(context, barrier);
    this.attempts = new AttemptRunner(context, admission);
  }

  /** True if requests are taken. */
  public boolean isReady() {
    return ready;
  }

  /** Answers of attempts that were no longer awaited. */
  public long lateAnswers() {
    return attempts.lateAnswers();
  }

  /** True if a call is between its dispatch and its settlement. */
  public boolean hasDispatchedCalls() {
    return programs.values().stream()
        .anyMatch(program -> program.active != null && program.active.isDispatched());
  }

  /** Starts nothing new, in preparation of handing the shard over; what runs is finished. */
  public void drain() {
    draining = true;
    programs.values().stream()
        .filter(program -> program.active != null)
        .forEach(program -> withdrawTicket(program.active));
  }

  // ---- leadership ----

  /** The state is complete: takes over what the log says is open. */
  public void leaderReady(long nowMillis) {
    ready = true;
    draining = false;
    for (ProgramState program : shard.programs()) {
      CallState open = program.openCall();
      if (open != null) {
        takeOver(program, open, nowMillis);
      }
    }
  }

  private void takeOver(ProgramState program, CallState open, long nowMillis) {
    LiveProgram live = live(program.created().programId());
    LiveCall call = new LiveCall(requestOf(program, open), nowMillis);
    live.active = call;
    if (!open.hasOpenAttempt()) {
      retryOrClose(live, call, program, open, nowMillis);
      return;
    }
    call.attempt = attempts.attemptId(open.latest());
    if (open.first().kind() == CallKind.MODEL) {
      attempts.resumeAttempt(live, call, program, open, nowMillis);
    } else {
      attempts.settleLostToolAttempt(live, call, open);
    }
  }

  private CallerRequest requestOf(ProgramState program, CallState call) {
    CallDispatched first = call.first();
    CallerRequest.Kind kind =
        first.kind() == CallKind.MODEL
            ? CallerRequest.Kind.MODEL_CALL
            : CallerRequest.Kind.TOOL_CALL;
    return new CallerRequest(
        kind,
        context.group().shard(),
        program.created().tenant(),
        program.created().programId(),
        first.idempotencyKey(),
        Long.MAX_VALUE,
        first.maximumTokens(),
        first.target(),
        first.operation(),
        first.body(),
        Payload.EMPTY);
  }

  /** Leadership is lost: sends everybody to the new leader and forgets the soft state. */
  public void leadershipLost() {
    ready = false;
    attempts.abandonAll();
    CallerReply.NotLeader notLeader = new CallerReply.NotLeader();
    for (LiveProgram live : programs.values()) {
      if (live.active != null) {
        dropLive(live.active, notLeader);
      }
      live.queue.forEach(call -> dropLive(call, notLeader));
    }
    lifecycle.drain().forEach(origin -> output.reply(origin, notLeader));
    barrier.drain().forEach(origin -> output.reply(origin, notLeader));
    programs.clear();
  }

  private void dropLive(LiveCall call, CallerReply reply) {
    withdrawTicket(call);
    call.origins().forEach(origin -> output.reply(origin, reply));
  }

  /** Ends a duty cycle; proposals made in it are sent out after this. */
  public void endCycle() {
    barrier.endCycle();
  }

  // ---- requests ----

  /** Takes a caller's request. */
  public void handle(CallerRequest request, CallerOrigin origin, long nowMillis) {
    if (!ready) {
      output.reply(origin, new CallerReply.NotLeader());
      return;
    }
    output.reply(origin, new CallerReply.Accepted());
    switch (request.kind()) {
      case CREATE_PROGRAM -> lifecycle.create(request, origin, nowMillis);
      case MODEL_CALL, TOOL_CALL -> handleCall(request, origin, nowMillis);
      case END_PROGRAM -> handleEnd(request, origin, nowMillis);
      case DESCRIBE_PROGRAM -> lifecycle.describe(request, origin);
      default -> throw new IllegalStateException("unknown request " + request.kind());
    }
  }

  private void handleCall(CallerRequest request, CallerOrigin origin, long nowMillis) {
    ProgramState program = shard.programOf(request.tenant(), request.programId());
    if (program == null) {
      barrier.confirmAndReply(origin, CallAdmission.failed(ErrorKind.UNKNOWN_PROGRAM, 0));
      return;
    }
    ErrorKind refusedBefore = program.refusalOf(origin);
    if (refusedBefore != null) {
      output.reply(origin, CallAdmission.failed(refusedBefore, retryAfter(refusedBefore)));
      return;
    }
    CallState recorded = program.callByKey(request.idempotencyKey());
    if (recorded != null && replyFromRecord(recorded, request, origin)) {
      return;
    }
    LiveProgram live = live(request.programId());
    LiveCall same = live.byKey(request.idempotencyKey());
    if (same != null) {
      join(same, request, origin);
      return;
    }
    if (program.ended() != null) {
      CallerReply.Failed refusal = CallAdmission.failed(ErrorKind.PROGRAM_ENDED, 0);
      barrier.confirmAndReply(origin, truthful(request, refusal));
      return;
    }
    if (live.queue.size() >= settings.maximumQueuedCalls()) {
      CallerReply.Failed refusal =
          CallAdmission.failed(ErrorKind.OVERLOADED, scheduler.retryAfterMillis());
      barrier.recordAndReply(request.programId(), origin, truthful(request, refusal));
      return;
    }
    LiveCall call = new LiveCall(request, nowMillis);
    call.addWaiter(origin, request, output);
    live.queue.add(call);
    advance(live, nowMillis);
  }

  /** Answers a retry from the log; false if the call is open or may be run anew. */
  private boolean replyFromRecord(CallState recorded, CallerRequest request, CallerOrigin origin) {
    if (!recorded.requestDigest().equals(request.digest())) {
      barrier.confirmAndReply(origin, CallAdmission.failed(ErrorKind.KEY_REUSED, 0));
      return true;
    }
    if (recorded.completion() != null) {
      output.reply(origin, completed(recorded));
      return true;
    }
    AttemptFailed closure = recorded.closure();
    if (closure == null || recorded.first().repeatable() || isNotRun(closure)) {
      return false;
    }
    output.reply(origin, CallAdmission.failed(closure.kind(), 0));
    return true;
  }

  private static boolean isNotRun(AttemptFailed closure) {
    return closure.kind().execution() == Execution.NOT_RUN;
  }

  private static CallerReply.Completed completed(CallState call) {
    CallCompleted record = call.completion();
    return new CallerReply.Completed(record.answer(), record.usage(), call.charged());
  }

  private void join(LiveCall call, CallerRequest request, CallerOrigin origin) {
    if (call.digest.equals(request.digest())) {
      call.addWaiter(origin, request, output);
    } else {
      barrier.confirmAndReply(origin, CallAdmission.failed(ErrorKind.KEY_REUSED, 0));
    }
  }

  private void handleEnd(CallerRequest request, CallerOrigin origin, long nowMillis) {
    ProgramState program = shard.programOf(request.tenant(), request.programId());
    if (program == null) {
      barrier.confirmAndReply(origin, CallAdmission.failed(ErrorKind.UNKNOWN_PROGRAM, 0));
      return;
    }
    if (program.ended() != null) {
      output.reply(origin, ProgramLifecycle.description(program));
      return;
    }
    LiveProgram live = live(request.programId());
    LiveCall same = live.byKey(request.idempotencyKey());
    if (same != null) {
      join(same, request, origin);
      return;
    }
    LiveCall call = new LiveCall(request, nowMillis);
    call.addWaiter(origin, request, output);
    live.queue.add(call);
    advance(live, nowMillis);
  }

  /** The caller of a request has gone. */
  public void cancel(CallerOrigin origin, long nowMillis) {
    for (LiveProgram live : new ArrayList<>(programs.values())) {
      if (live.active != null) {
        live.active.removeWaiter(origin);
        if (!live.active.hasWaiters() && live.active.abandonedSinceMillis < 0) {
          live.active.abandonedSinceMillis = nowMillis;
        }
      }
      live.queue.forEach(call -> call.removeWaiter(origin));
      live.queue.removeIf(call -> !call.hasWaiters());
    }
  }

  // ---- the queue of a program ----

  private LiveProgram live(String programId) {
    return programs.computeIfAbsent(programId, LiveProgram::new);
  }

  private void advance(LiveProgram live, long nowMillis) {
    while (!draining && live.active == null && !live.queue.isEmpty()) {
      LiveCall head = live.queue.poll();
      if (head.request.kind() == CallerRequest.Kind.END_PROGRAM) {
        proposeEnd(live, head, nowMillis);
      } else {
        admit(live, head, nowMillis);
      }
    }
    if (live.isIdle()) {
      programs.remove(live.programId);
    }
  }

  private void proposeEnd(LiveProgram live, LiveCall call, long nowMillis) {
    if (output.propose(new ProgramEnded(live.programId, nowMillis)) < 0) {
      dropLive(call, new CallerReply.NotLeader());
      return;
    }
    call.stage = LiveCall.Stage.PROPOSED;
    live.active = call;
  }

  private void admit(LiveProgram live, LiveCall call, long nowMillis) {
    ProgramState program = shard.program(live.programId);
    CallerReply.Failed refusal = admission.refusal(program, call.request, nowMillis);
    if (refusal != null) {
      refuse(call, refusal);
      return;
    }
    live.active = call;
    if (call.request.kind() == CallerRequest.Kind.TOOL_CALL) {
      dispatchToolCall(live, call, nowMillis);
    } else if (engines.isServed(call.request.target())) {
      waitForEngine(live, call, program, nowMillis);
    } else {
      live.active = null;
      CallerReply.Failed none =
          CallAdmission.failed(ErrorKind.NO_BACKEND, scheduler.retryAfterMillis());
      refuse(call, none);
    }
  }

  private void refuse(LiveCall call, CallerReply.Failed refusal) {
    withdrawTicket(call);
    String programId = call.request.programId();
    CallerReply.Failed truthful = truthful(call.request, refusal);
    call.origins().forEach(origin -> barrier.recordAndReply(programId, origin, truthful));
  }

  /** A call under a key that has run before, and failed, must not be told that it was not run. */
  private CallerReply.Failed truthful(CallerRequest request, CallerReply.Failed refusal) {
    ProgramState program = shard.program(request.programId());
    CallState earlier = program == null ? null : program.callByKey(request.idempotencyKey());
    boolean hasRun = earlier != null && earlier.mayHaveRun();
    if (!hasRun || refusal.kind().execution() != Execution.NOT_RUN) {
      return refusal;
    }
    boolean mayRetry = refusal.kind().retryAdvice() != ErrorKind.RetryAdvice.NEVER;
    ErrorKind kind = mayRetry ? ErrorKind.BACKEND_FAILED : ErrorKind.RETRY_REFUSED;
    return CallAdmission.failed(kind, refusal.retryAfterMillis());
  }

  private void withdrawTicket(LiveCall call) {
    if (call.ticket != null) {
      scheduler.withdraw(call.ticket);
      call.ticket = null;
    }
  }

  private void waitForEngine(
      LiveProgram live, LiveCall call, ProgramState program, long nowMillis) {
    call.stage = LiveCall.Stage.WAITING_FOR_ENGINE;
    if (draining) {
      return;
    }
    int promptTokens = CallAdmission.promptTokenBound(program, call.request);
    CallDemand demand = new CallDemand(live.programId, call.request.target(), promptTokens);
    int priority = admission.priority(program);
    call.ticket = new EngineTicket(this, live, call, program, demand, priority);
    scheduler.submit(call.ticket, nowMillis);
  }

  /** The scheduler has given the place to another call. */
  void displaced(LiveProgram live, LiveCall call, int retryAfterMillis, long nowMillis) {
    call.ticket = null;
    ProgramState program = shard.program(live.programId);
    CallState open = program.openCall();
    if (open != null) {
      attempts.closeCall(live, call, open);
      return;
    }
    live.active = null;
    refuse(call, CallAdmission.failed(ErrorKind.OVERLOADED, retryAfterMillis));
    advance(live, nowMillis);
  }

  /** The scheduler has chosen an engine. */
  void dispatchModelCall(LiveProgram live, LiveCall call, String engine, long nowMillis) {
    call.ticket = null;
    if (!attempts.dispatchModelCall(live, call, engine, nowMillis)) {
      live.active = null;
      dropLive(call, new CallerReply.NotLeader());
    }
  }

  private void dispatchToolCall(LiveProgram live, LiveCall call, long nowMillis) {
    if (!attempts.dispatchToolCall(live, call, nowMillis)) {
      live.active = null;
      dropLive(call, new CallerReply.NotLeader());
    }
  }

  // ---- what back ends say ----

  /** Generated text has arrived; the offset counts bytes of the whole answer. */
  public void onAttemptText(AttemptId id, int offset, Payload text, long nowMillis) {
    attempts.onText(id, offset, text, nowMillis);
  }

  /** An attempt has its whole answer. */
  public void onAttemptCompleted(AttemptId id, Payload answer, Usage usage) {
    attempts.onCompleted(id, answer, usage);
  }

  /** An attempt failed. */
  public void onAttemptFailed(AttemptId id, AttemptFailure failure, long nowMillis) {
    attempts.onFailed(id, failure, nowMillis);
  }

  // ---- what the log says ----

  /** A record of this leader's term, or an earlier one, was committed and applied. */
  public void onApplied(long index, LogRecord record, long nowMillis) {
    if (!ready) {
      return;
    }
    barrier.onApplied(index);
    if (record instanceof ProgramCreated created) {
      lifecycle.onCreated(created);
    } else if (record instanceof ProgramRecord programRecord) {
      LiveProgram live = programs.get(programRecord.programId());
      if (record instanceof ProgramEnded ended) {
        onEnded(ended, live, nowMillis);
      } else if (live != null && live.active != null) {
        onCallRecord(live, live.active, programRecord, nowMillis);
      }
    }
  }

  private void onEnded(ProgramEnded record, LiveProgram live, long nowMillis) {
    ProgramState program = shard.program(record.programId());
    if (live != null && live.active != null && program != null) {
      LiveCall call = live.active;
      if (call.request.kind() == CallerRequest.Kind.END_PROGRAM) {
        live.active = null;
        call.origins()
            .forEach(origin -> output.reply(origin, ProgramLifecycle.description(program)));
        advance(live, nowMillis);
      }
    }
    releaser.tick(nowMillis);
  }

  private void onCallRecord(LiveProgram live, LiveCall call, ProgramRecord record, long nowMillis) {
    ProgramState program = shard.program(live.programId);
    if (record instanceof CallDispatched dispatched) {
      onDispatched(live, call, program, dispatched, nowMillis);
    } else if (record instanceof CallCompleted) {
      CallState done = program.callByKey(call.request.idempotencyKey());
      if (done != null && done.completion() == record) {
        finish(live, call, completed(done), nowMillis);
      }
    } else if (record instanceof AttemptFailed failed) {
      CallState state = program.callByKey(call.request.idempotencyKey());
      if (state != null && call.stage == LiveCall.Stage.SETTLING) {
        onAttemptSettled(live, call, program, state, failed, nowMillis);
      }
    }
  }

  private void onDispatched(
      LiveProgram live,
      LiveCall call,
      ProgramState program,
      CallDispatched record,
      long nowMillis) {
    if (call.stage != LiveCall.Stage.PROPOSED || !attempts.attemptId(record).equals(call.attempt)) {
      return;
    }
    CallState open = program.openCall();
    boolean valid = open != null && open.latest() == record;
    if (valid && nowMillis - record.dispatchedAtMillis() > context.dispatchLimitMillis()) {
      // This process stood still; by now another leader may be in office and further on.
      attempts.settleFailure(live, call, record, ErrorKind.NO_BACKEND, 0, false);
    } else if (valid) {
      attempts.startAttempt(live, call, open, nowMillis);
    } else if (open != null) {
      attempts.closeCall(live, call, open);
    } else {
      // The program ended, or its parent's budget was taken, between the check and the commit.
      ErrorKind kind =
          program.ended() != null ? ErrorKind.PROGRAM_ENDED : ErrorKind.BUDGET_EXCEEDED;
      live.active = null;
      refuse(call, CallAdmission.failed(kind, 0));
      advance(live, nowMillis);
    }
  }

  private void onAttemptSettled(
      LiveProgram live,
      LiveCall call,
      ProgramState program,
      CallState state,
      AttemptFailed record,
      long nowMillis) {
    if (state.closure() == record) {
      live.active = null;
      refuse(call, CallAdmission.failed(record.kind(), retryAfter(record.kind())));
      advance(live, nowMillis);
    } else if (!state.isClosed()) {
      retryOrClose(live, call, program, state, nowMillis);
    }
  }

  private int retryAfter(ErrorKind kind) {
    boolean delayed = kind.retryAdvice() == ErrorKind.RetryAdvice.AFTER_DELAY;
    return delayed ? scheduler.retryAfterMillis() : 0;
  }

  private void retryOrClose(
      LiveProgram live, LiveCall call, ProgramState program, CallState state, long nowMillis) {
    boolean allowed =
        program.ended() == null
            && state.latest().attempt() < settings.maximumAttempts()
            && admission.reservation(program, call.request) <= program.available()
            && context.retryBudget().tryRetry();
    if (!allowed) {
      attempts.closeCall(live, call, state);
    } else if (state.first().kind() == CallKind.TOOL) {
      retryToolCall(live, call, state, nowMillis);
    } else if (engines.isServed(call.request.target())) {
      waitForEngine(live, call, program, nowMillis);
    } else {
      attempts.closeCall(live, call, state);
    }
  }

  private void retryToolCall(LiveProgram live, LiveCall call, CallState state, long nowMillis) {
    Tool tool = context.configuration().get().tool(call.request.target());
    if (tool == null || admission.operation(call.request) == null) {
      attempts.closeCall(live, call, state);
    } else {
      dispatchToolCall(live, call, nowMillis);
    }
  }

  private void finish(LiveProgram live, LiveCall call, CallerReply reply, long nowMillis) {
    live.active = null;
    call.origins().forEach(origin -> output.reply(origin, reply));
    advance(live, nowMillis);
  }

  // ---- time ----

  /** Lets time pass: deadlines, timeouts, abandoned calls, retention. */
  public void tick(long nowMillis) {
    if (!ready) {
      return;
    }
    for (LiveProgram live : new ArrayList<>(programs.values())) {
      expireQueued(live, nowMillis);
      if (live.active != null) {
        tickActive(live, live.active, nowMillis);
      }
    }
    if (nowMillis >= nextHousekeepingMillis) {
      nextHousekeepingMillis = nowMillis + HOUSEKEEPING_MILLIS;
      releaser.tick(nowMillis);
      lifecycle.tick(programs::containsKey, nowMillis);
    }
  }

  private void expireQueued(LiveProgram live, long nowMillis) {
    for (LiveCall call : new ArrayList<>(live.queue)) {
      if (nowMillis > call.request.deadlineMillis()) {
        live.queue.remove(call);
        refuse(call, CallAdmission.failed(ErrorKind.DEADLINE_PASSED, 0));
      }
    }
  }

  private void tickActive(LiveProgram live, LiveCall call, long nowMillis) {
    if (call.stage == LiveCall.Stage.WAITING_FOR_ENGINE) {
      tickWaiting(live, call, nowMillis);
    } else if (call.stage == LiveCall.Stage.RUNNING) {
      attempts.tick(live, call, nowMillis);
    }
  }

  private void tickWaiting(LiveProgram live, LiveCall call, long nowMillis) {
    CallState open = shard.program(live.programId).openCall();
    boolean late = nowMillis > call.request.deadlineMillis();
    boolean unwanted = call.abandonedSinceMillis >= 0;
    if (!late && !unwanted) {
      return;
    }
    withdrawTicket(call);
    if (open != null) {
      attempts.closeCall(live, call, open);
      return;
    }
    live.active = null;
    refuse(call, CallAdmission.failed(ErrorKind.DEADLINE_PASSED, 0));
    advance(live, nowMillis);
  }

  // ---- engine memory ----

  /** An engine confirmed that it holds nothing of a program. */
  public void onCacheReleased(String engine, String programId) {
    if (ready) {
      releaser.onReleased(engine, programId);
    }
  }

  /** A watcher passes on what an engine holds. */
  public void onInventory(String engine, Collection<String> programIds, long nowMillis) {
    if (ready) {
      releaser.onInventory(engine, programIds, nowMillis);
    }
  }

  /** True if any ended program still owes a release. */
  public boolean owesCacheRelease() {
    return releaser.owesAny();
  }
}
