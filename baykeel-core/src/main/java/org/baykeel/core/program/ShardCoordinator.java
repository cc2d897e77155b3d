package org.baykeel.core.program;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.baykeel.core.configuration.ConfigurationImage;
import org.baykeel.core.configuration.Declarations.ProgramClass;
import org.baykeel.core.configuration.Declarations.Tenant;
import org.baykeel.core.configuration.Declarations.Tool;
import org.baykeel.core.error.ErrorKind;
import org.baykeel.core.error.Execution;
import org.baykeel.core.log.LogEvent;
import org.baykeel.core.message.AttemptFailure;
import org.baykeel.core.message.AttemptId;
import org.baykeel.core.message.BackendAttempt;
import org.baykeel.core.message.CallKind;
import org.baykeel.core.message.CallerReply;
import org.baykeel.core.message.CallerRequest;
import org.baykeel.core.message.GroupId;
import org.baykeel.core.message.LogRecord;
import org.baykeel.core.message.LogRecord.AttemptFailed;
import org.baykeel.core.message.LogRecord.CallCompleted;
import org.baykeel.core.message.LogRecord.CallDispatched;
import org.baykeel.core.message.LogRecord.ProgramCreated;
import org.baykeel.core.message.LogRecord.ProgramEnded;
import org.baykeel.core.message.LogRecord.ProgramForgotten;
import org.baykeel.core.message.LogRecord.ProgramRecord;
import org.baykeel.core.message.MemberId;
import org.baykeel.core.message.Payload;
import org.baykeel.core.message.Usage;
import org.baykeel.core.retry.RetryBudget;
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
  private final GroupId group;
  private final MemberId self;
  private final ProgramShard shard;
  private final CoordinatorSettings settings;
  private final int dispatchLimitMillis;
  private final Supplier<ConfigurationImage> configuration;
  private final EngineDirectory engines;
  private final CallScheduler scheduler;
  private final RetryBudget retryBudget;
  private final CoordinatorOutput output;
  private final CallAdmission admission;
  private final RefusalBarrier barrier;
  private final CacheReleaser releaser;
  private final Map<String, LiveProgram> programs = new HashMap<>();
  private final Map<AttemptId, LiveProgram> running = new LinkedHashMap<>();
  private final Map<String, List<CallerOrigin>> creating = new HashMap<>();
  private final Map<String, List<CallerOrigin>> ending = new HashMap<>();
  private boolean ready;
  private boolean draining;
  private int nextToolInstance;
  private long lateAnswers;

  /**
   * A coordinator that waits for its group to lead.
   *
   * @param dispatchLimitMillis a dispatch whose record took longer than this to commit is not sent;
   *     must be less than the time that followers wait before they elect another leader
   */
  public ShardCoordinator(
      GroupId group,
      MemberId self,
      ProgramShard shard,
      CoordinatorSettings settings,
      int dispatchLimitMillis,
      Supplier<ConfigurationImage> configuration,
      EngineDirectory engines,
      CallScheduler scheduler,
      RetryBudget retryBudget,
      CoordinatorOutput output) {
    this.group = requireNonNull(group, "group");
    this.self = requireNonNull(self, "self");
    this.shard = requireNonNull(shard, "shard");
    this.settings = requireNonNull(settings, "settings");
    this.dispatchLimitMillis = dispatchLimitMillis;
    this.configuration = requireNonNull(configuration, "configuration");
    this.engines = requireNonNull(engines, "engines");
    this.scheduler = requireNonNull(scheduler, "scheduler");
    this.retryBudget = requireNonNull(retryBudget, "retryBudget");
    this.output = requireNonNull(output, "output");
    this.admission = new CallAdmission(configuration);
    this.barrier = new RefusalBarrier(output);
    this.releaser = new CacheReleaser(shard, engines, output);
  }

  /** True if requests are taken. */
  public boolean isReady() {
    return ready;
  }

  /** Answers of attempts that were no longer awaited. */
  public long lateAnswers() {
    return lateAnswers;
  }

  /** Number of attempts at back ends. */
  public int runningAttempts() {
    return running.size();
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
    call.attempt = attemptId(open.latest());
    if (open.first().kind() == CallKind.MODEL) {
      resumeAttempt(live, call, program, open, nowMillis);
    } else {
      settleLostToolAttempt(live, call, open);
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
        group.shard(),
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

  /** A predecessor sent this and its outcome is lost: never again, unless repeating is harmless. */
  private void settleLostToolAttempt(LiveProgram live, LiveCall call, CallState open) {
    boolean repeatable = open.first().repeatable();
    ErrorKind kind = repeatable ? ErrorKind.BACKEND_FAILED : ErrorKind.OUTCOME_UNKNOWN;
    settleFailure(live, call, open.latest(), kind, open.latest().reservation(), !repeatable);
  }

  /** Leadership is lost: sends everybody to the new leader and forgets the soft state. */
  public void leadershipLost() {
    ready = false;
    CallerReply.NotLeader notLeader = new CallerReply.NotLeader();
    for (LiveProgram live : programs.values()) {
      if (live.active != null) {
        dropLive(live.active, notLeader);
      }
      live.queue.forEach(call -> dropLive(call, notLeader));
    }
    creating.values().forEach(list -> list.forEach(origin -> output.reply(origin, notLeader)));
    ending.values().forEach(list -> list.forEach(origin -> output.reply(origin, notLeader)));
    barrier.drain().forEach(origin -> output.reply(origin, notLeader));
    for (AttemptId id : running.keySet()) {
      output.abandonAttempt(id);
    }
    programs.clear();
    running.clear();
    creating.clear();
    ending.clear();
  }

  private void dropLive(LiveCall call, CallerReply reply) {
    withdrawTicket(call);
    if (call.stage == LiveCall.Stage.RUNNING) {
      engines.attemptEnded(call.attemptBackend);
    }
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
      case CREATE_PROGRAM -> createProgram(request, origin, nowMillis);
      case MODEL_CALL, TOOL_CALL -> handleCall(request, origin, nowMillis);
      case END_PROGRAM -> handleEnd(request, origin, nowMillis);
      case DESCRIBE_PROGRAM -> describe(request, origin);
      default -> throw new IllegalStateException("unknown request " + request.kind());
    }
  }

  private void createProgram(CallerRequest request, CallerOrigin origin, long nowMillis) {
    ProgramState existing = shard.program(request.programId());
    if (existing != null) {
      replyToRepeatedCreation(existing, request, origin);
      return;
    }
    CallerReply.Failed refusal = refusalOfCreation(request);
    if (refusal != null) {
      barrier.confirmAndReply(origin, refusal);
      return;
    }
    List<CallerOrigin> waiting = creating.get(request.programId());
    if (waiting != null) {
      waiting.add(origin);
      return;
    }
    ProgramClass programClass = configuration.get().programClass(request.target());
    ProgramState parent = shard.program(request.operation());
    long budget = programClass.budget();
    if (parent != null) {
      budget = Math.min(budget, parent.created().budget());
    }
    ProgramCreated record =
        new ProgramCreated(
            request.programId(),
            request.tenant(),
            request.target(),
            request.operation(),
            request.idempotencyKey(),
            budget,
            programClass.turnLimit(),
            nowMillis);
    if (output.propose(record) < 0) {
      output.reply(origin, new CallerReply.NotLeader());
      return;
    }
    creating.put(request.programId(), new ArrayList<>(List.of(origin)));
  }

  private void replyToRepeatedCreation(
      ProgramState existing, CallerRequest request, CallerOrigin origin) {
    boolean same =
        existing.created().tenant().equals(request.tenant())
            && existing.created().programClass().equals(request.target())
            && existing.created().parentId().equals(request.operation());
    if (same) {
      output.reply(origin, description(existing));
    } else {
      barrier.confirmAndReply(origin, CallAdmission.failed(ErrorKind.KEY_REUSED, 0));
    }
  }

  private CallerReply.Failed refusalOfCreation(CallerRequest request) {
    if (configuration.get().programClass(request.target()) == null) {
      return CallAdmission.failed(ErrorKind.UNKNOWN_TARGET, 0);
    }
    String parentId = request.operation();
    ProgramState parent = shard.program(parentId);
    if (!parentId.isEmpty()) {
      if (parent == null || !parent.created().tenant().equals(request.tenant())) {
        return CallAdmission.failed(ErrorKind.UNKNOWN_PROGRAM, 0);
      }
      return parent.ended() == null ? null : CallAdmission.failed(ErrorKind.PROGRAM_ENDED, 0);
    }
    Tenant tenant = configuration.get().tenant(request.tenant());
    long underWay =
        shard.programs().stream()
            .filter(program -> program.ended() == null)
            .filter(program -> program.created().tenant().equals(request.tenant()))
            .count();
    boolean full = tenant == null || underWay >= tenant.maximumPrograms();
    return full
        ? CallAdmission.failed(ErrorKind.TOO_MANY_PROGRAMS, scheduler.retryAfterMillis())
        : null;
  }

  private ProgramState programOf(CallerRequest request) {
    ProgramState program = shard.program(request.programId());
    boolean own = program != null && program.created().tenant().equals(request.tenant());
    return own ? program : null;
  }

  private void handleCall(CallerRequest request, CallerOrigin origin, long nowMillis) {
    ProgramState program = programOf(request);
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
      barrier.confirmAndReply(origin, CallAdmission.failed(ErrorKind.PROGRAM_ENDED, 0));
      return;
    }
    if (live.queue.size() >= settings.maximumQueuedCalls()) {
      CallerReply.Failed refusal =
          CallAdmission.failed(ErrorKind.OVERLOADED, scheduler.retryAfterMillis());
      barrier.recordAndReply(request.programId(), origin, refusal);
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
    ProgramState program = programOf(request);
    if (program == null) {
      barrier.confirmAndReply(origin, CallAdmission.failed(ErrorKind.UNKNOWN_PROGRAM, 0));
      return;
    }
    if (program.ended() != null) {
      output.reply(origin, description(program));
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

  private void describe(CallerRequest request, CallerOrigin origin) {
    ProgramState program = programOf(request);
    CallerReply reply =
        program == null ? CallAdmission.failed(ErrorKind.UNKNOWN_PROGRAM, 0) : description(program);
    barrier.confirmAndReply(origin, reply);
  }

  private static CallerReply.Completed description(ProgramState program) {
    Payload text = ProgramDescription.of(program);
    return new CallerReply.Completed(text, Usage.NONE, program.spent());
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
    call.origins().forEach(origin -> barrier.recordAndReply(programId, origin, refusal));
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
    int priority = priority(program);
    call.ticket = new EngineTicket(this, live, call, program, demand, priority);
    scheduler.submit(call.ticket, nowMillis);
  }

  private int priority(ProgramState program) {
    ProgramClass programClass = configuration.get().programClass(program.created().programClass());
    return programClass == null ? LOWEST_PRIORITY : programClass.priority();
  }

  private static final int LOWEST_PRIORITY = 1_000;

  /** The scheduler has given the place to another call. */
  void displaced(LiveProgram live, LiveCall call, int retryAfterMillis, long nowMillis) {
    call.ticket = null;
    ProgramState program = shard.program(live.programId);
    CallState open = program.openCall();
    if (open != null) {
      closeCall(live, call, open);
      return;
    }
    live.active = null;
    refuse(call, CallAdmission.failed(ErrorKind.OVERLOADED, retryAfterMillis));
    advance(live, nowMillis);
  }

  // ---- dispatch ----

  /** The scheduler has chosen an engine. */
  void dispatchModelCall(LiveProgram live, LiveCall call, String engine, long nowMillis) {
    call.ticket = null;
    proposeDispatch(live, call, engine, engines.address(engine), true, nowMillis);
  }

  private void dispatchToolCall(LiveProgram live, LiveCall call, long nowMillis) {
    Tool tool = configuration.get().tool(call.request.target());
    boolean repeatable = admission.operation(call.request).repeatable();
    String address = tool.addresses().get(nextToolInstance % tool.addresses().size());
    nextToolInstance = (nextToolInstance + 1) & Integer.MAX_VALUE;
    proposeDispatch(live, call, tool.name(), address, repeatable, nowMillis);
  }

  private void proposeDispatch(
      LiveProgram live,
      LiveCall call,
      String backend,
      String address,
      boolean repeatable,
      long nowMillis) {
    ProgramState program = shard.program(live.programId);
    CallState open = program.openCall();
    boolean first = open == null;
    CallerRequest request = call.request;
    boolean model = request.kind() == CallerRequest.Kind.MODEL_CALL;
    CallDispatched record =
        new CallDispatched(
            live.programId,
            first ? program.calls().size() + 1 : program.calls().size(),
            first ? 1 : open.latest().attempt() + 1,
            model ? CallKind.MODEL : CallKind.TOOL,
            repeatable,
            admission.reservation(program, request),
            request.maximumTokens(),
            self,
            request.idempotencyKey(),
            request.target(),
            backend,
            request.operation(),
            call.digest,
            first ? request.body() : Payload.EMPTY,
            nowMillis);
    if (output.propose(record) < 0) {
      live.active = null;
      dropLive(call, new CallerReply.NotLeader());
      return;
    }
    if (first) {
      retryBudget.firstAttempt();
    }
    call.stage = LiveCall.Stage.PROPOSED;
    call.attempt = attemptId(record);
    call.attemptBackend = backend;
    call.attemptAddress = address;
  }

  private AttemptId attemptId(CallDispatched record) {
    return new AttemptId(
        record.programId(), record.callSequence(), record.attempt(), group.generation());
  }

  private void startAttempt(LiveProgram live, LiveCall call, CallState state, long nowMillis) {
    call.restartFrom(call.continuation());
    call.resumed = false;
    sendAttempt(live, call, state, false, nowMillis);
  }

  private void resumeAttempt(
      LiveProgram live, LiveCall call, ProgramState program, CallState open, long nowMillis) {
    String engine = open.latest().backend();
    String address = engines.address(engine);
    call.resumed = true;
    call.attemptBackend = engine;
    call.attemptAddress = address == null ? "" : address;
    if (address == null) {
      settleFailure(
          live, call, open.latest(), ErrorKind.BACKEND_FAILED, open.latest().reservation(), false);
      return;
    }
    sendAttempt(live, call, open, true, nowMillis);
  }

  private void sendAttempt(
      LiveProgram live, LiveCall call, CallState state, boolean resume, long nowMillis) {
    ProgramState program = shard.program(live.programId);
    boolean model = state.first().kind() == CallKind.MODEL;
    call.stage = LiveCall.Stage.RUNNING;
    call.lastProgressMillis = nowMillis;
    call.timeoutMillis = model ? settings.modelTimeoutMillis() : toolTimeout(call.request);
    running.put(call.attempt, live);
    engines.attemptStarted(call.attemptBackend);
    Payload body = state.first().body();
    output.startAttempt(
        new BackendAttempt(
            call.attempt,
            state.first().kind(),
            call.attemptBackend,
            call.attemptAddress,
            state.first().target(),
            state.first().operation(),
            model && !resume ? PromptBuilder.build(program, body) : body,
            state.first().maximumTokens(),
            resume ? Payload.EMPTY : call.partial(),
            resume,
            priority(program),
            call.timeoutMillis,
            live.programId + ":" + state.first().idempotencyKey()));
  }

  private int toolTimeout(CallerRequest request) {
    var operation = admission.operation(request);
    return operation == null ? settings.modelTimeoutMillis() : operation.timeoutMillis();
  }

  // ---- what back ends say ----

  /** Generated text has arrived; the offset counts from the attempt's continuation. */
  public void onAttemptText(AttemptId id, int offset, Payload text, long nowMillis) {
    LiveCall call = runningCall(id);
    if (call != null) {
      call.lastProgressMillis = nowMillis;
      call.append(offset, text, output);
    }
  }

  /** The attempt has its whole answer. */
  public void onAttemptCompleted(AttemptId id, Payload answer, Usage usage) {
    LiveCall call = runningCall(id);
    if (call == null) {
      return;
    }
    LiveProgram live = endAttempt(id, call);
    CallState state = shard.program(live.programId).openCall();
    long cost = admission.cost(state, usage);
    CallCompleted record =
        new CallCompleted(live.programId, id.callSequence(), id.attempt(), cost, usage, answer);
    call.stage = LiveCall.Stage.SETTLING;
    output.propose(record);
  }

  /** The attempt failed. */
  public void onAttemptFailed(AttemptId id, AttemptFailure failure, long nowMillis) {
    LiveCall call = runningCall(id);
    if (call == null) {
      return;
    }
    output.event(LogEvent.ATTEMPT_FAILED, id, call.attemptBackend, failure);
    LiveProgram live = endAttempt(id, call);
    ProgramState program = shard.program(live.programId);
    CallState open = program.openCall();
    CallDispatched latest = open.latest();
    boolean model = latest.kind() == CallKind.MODEL;
    if (model && failure != AttemptFailure.REJECTED) {
      engines.avoid(call.attemptBackend, nowMillis);
    }
    if (failure == AttemptFailure.REJECTED && !call.resumed) {
      settleFailure(live, call, latest, ErrorKind.INVALID_REQUEST, 0, true);
    } else if (isProvedNotTaken(failure) && !call.resumed) {
      settleFailure(live, call, latest, ErrorKind.NO_BACKEND, 0, false);
    } else if (model && failure == AttemptFailure.BROKEN && !call.resumed) {
      resumeAttempt(live, call, program, open, nowMillis);
    } else if (model || latest.repeatable()) {
      settleFailure(live, call, latest, ErrorKind.BACKEND_FAILED, latest.reservation(), false);
    } else {
      output.event(LogEvent.OUTCOME_UNKNOWN, id);
      settleFailure(live, call, latest, ErrorKind.OUTCOME_UNKNOWN, latest.reservation(), true);
    }
  }

  private static boolean isProvedNotTaken(AttemptFailure failure) {
    return failure == AttemptFailure.NOT_TAKEN || failure == AttemptFailure.LEAVING;
  }

  private LiveCall runningCall(AttemptId id) {
    LiveProgram live = running.get(id);
    boolean awaited = live != null && live.active != null && id.equals(live.active.attempt);
    if (!awaited) {
      lateAnswers++;
      output.event(LogEvent.LATE_ANSWER_DROPPED, id);
      return null;
    }
    return live.active;
  }

  private LiveProgram endAttempt(AttemptId id, LiveCall call) {
    engines.attemptEnded(call.attemptBackend);
    return running.remove(id);
  }

  private void settleFailure(
      LiveProgram live,
      LiveCall call,
      CallDispatched attempt,
      ErrorKind kind,
      long cost,
      boolean closes) {
    call.stage = LiveCall.Stage.SETTLING;
    output.propose(
        new AttemptFailed(
            live.programId, attempt.callSequence(), attempt.attempt(), kind, cost, closes));
  }

  // ---- what the log says ----

  /** A record of this leader's term, or an earlier one, was committed and applied. */
  public void onApplied(long index, LogRecord record, long nowMillis) {
    if (!ready) {
      return;
    }
    barrier.onApplied(index);
    if (record instanceof ProgramCreated created) {
      onCreated(created);
    } else if (record instanceof ProgramRecord programRecord) {
      LiveProgram live = programs.get(programRecord.programId());
      if (record instanceof ProgramEnded ended) {
        onEnded(ended, live, nowMillis);
      } else if (live != null && live.active != null) {
        onCallRecord(live, live.active, programRecord, nowMillis);
      }
    }
  }

  private void onCreated(ProgramCreated record) {
    List<CallerOrigin> origins = creating.remove(record.programId());
    ProgramState program = shard.program(record.programId());
    if (origins != null) {
      CallerReply reply =
          program == null ? CallAdmission.failed(ErrorKind.PROGRAM_ENDED, 0) : description(program);
      origins.forEach(origin -> output.reply(origin, reply));
    }
  }

  private void onEnded(ProgramEnded record, LiveProgram live, long nowMillis) {
    ProgramState program = shard.program(record.programId());
    if (live != null && live.active != null && program != null) {
      LiveCall call = live.active;
      if (call.request.kind() == CallerRequest.Kind.END_PROGRAM) {
        live.active = null;
        call.origins().forEach(origin -> output.reply(origin, description(program)));
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
    if (call.stage != LiveCall.Stage.PROPOSED || !attemptId(record).equals(call.attempt)) {
      return;
    }
    CallState open = program.openCall();
    boolean valid = open != null && open.latest() == record;
    if (valid && nowMillis - record.dispatchedAtMillis() > dispatchLimitMillis) {
      // This process stood still; by now another leader may be in office and further on.
      settleFailure(live, call, record, ErrorKind.NO_BACKEND, 0, false);
    } else if (valid) {
      startAttempt(live, call, open, nowMillis);
    } else if (open != null) {
      closeCall(live, call, open);
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
            && retryBudget.tryRetry();
    if (!allowed) {
      closeCall(live, call, state);
    } else if (state.first().kind() == CallKind.TOOL) {
      retryToolCall(live, call, state, nowMillis);
    } else if (engines.isServed(call.request.target())) {
      waitForEngine(live, call, program, nowMillis);
    } else {
      closeCall(live, call, state);
    }
  }

  private void retryToolCall(LiveProgram live, LiveCall call, CallState state, long nowMillis) {
    Tool tool = configuration.get().tool(call.request.target());
    if (tool == null || admission.operation(call.request) == null) {
      closeCall(live, call, state);
    } else {
      dispatchToolCall(live, call, nowMillis);
    }
  }

  /** Gives a call up, between two attempts, with its final answer at once. */
  private void closeCall(LiveProgram live, LiveCall call, CallState state) {
    ErrorKind kind = state.mayHaveRun() ? ErrorKind.BACKEND_FAILED : ErrorKind.NO_BACKEND;
    settleFailure(live, call, state.latest(), kind, 0, true);
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
    releaser.tick(nowMillis);
    forgetAndEndIdle(nowMillis);
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
      tickRunning(live, call, nowMillis);
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
      closeCall(live, call, open);
      return;
    }
    live.active = null;
    refuse(call, CallAdmission.failed(ErrorKind.DEADLINE_PASSED, 0));
    advance(live, nowMillis);
  }

  private void tickRunning(LiveProgram live, LiveCall call, long nowMillis) {
    boolean model = call.request.kind() == CallerRequest.Kind.MODEL_CALL;
    boolean abandoned =
        call.abandonedSinceMillis >= 0
            && nowMillis - call.abandonedSinceMillis >= settings.cancelGraceMillis();
    if (nowMillis - call.lastProgressMillis > call.timeoutMillis) {
      output.cancelAttempt(call.attempt, call.attemptBackend, call.attemptAddress);
      onAttemptFailed(call.attempt, AttemptFailure.TIMED_OUT, nowMillis);
    } else if (model && abandoned) {
      output.cancelAttempt(call.attempt, call.attemptBackend, call.attemptAddress);
      endAttempt(call.attempt, call);
      CallDispatched latest = shard.program(live.programId).openCall().latest();
      settleFailure(live, call, latest, ErrorKind.CANCELLED, latest.reservation(), true);
    }
  }

  private void forgetAndEndIdle(long nowMillis) {
    for (ProgramState program : new ArrayList<>(shard.programs())) {
      if (program.parent() != null || programs.containsKey(program.created().programId())) {
        continue;
      }
      if (program.ended() == null) {
        if (nowMillis - lastActivityMillis(program) > settings.idleLimitMillis()) {
          output.propose(new ProgramEnded(program.created().programId(), nowMillis));
        }
      } else if (isForgettable(program, nowMillis)) {
        output.propose(new ProgramForgotten(program.created().programId()));
      }
    }
  }

  private static long lastActivityMillis(ProgramState program) {
    long latest = program.created().createdAtMillis();
    for (ProgramState member : program.tree()) {
      List<CallState> calls = member.calls();
      if (!calls.isEmpty()) {
        latest = Math.max(latest, calls.get(calls.size() - 1).latest().dispatchedAtMillis());
      }
    }
    return latest;
  }

  private boolean isForgettable(ProgramState program, long nowMillis) {
    boolean released =
        program.tree().stream()
            .allMatch(
                member -> member.enginesHoldingCache().isEmpty() && member.openCall() == null);
    return released && nowMillis - program.ended().endedAtMillis() > settings.retentionMillis();
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
