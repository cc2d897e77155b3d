package org.baykeel.core.program;

import static java.util.Objects.requireNonNull;

import java.util.LinkedHashMap;
import java.util.Map;
import org.baykeel.core.configuration.Declarations.Tool;
import org.baykeel.core.error.ErrorKind;
import org.baykeel.core.log.LogEvent;
import org.baykeel.core.message.AttemptFailure;
import org.baykeel.core.message.AttemptId;
import org.baykeel.core.message.BackendAttempt;
import org.baykeel.core.message.CallKind;
import org.baykeel.core.message.CallerRequest;
import org.baykeel.core.message.LogRecord.AttemptFailed;
import org.baykeel.core.message.LogRecord.CallCompleted;
import org.baykeel.core.message.LogRecord.CallDispatched;
import org.baykeel.core.message.Payload;
import org.baykeel.core.message.Usage;
import org.baykeel.core.scheduling.EngineDirectory;

/**
 * Sends attempts to back ends, hears what becomes of them, and proposes the records that settle
 * them.
 *
 * <p>Invariant: what a back end says of an attempt counts only while that very attempt is running
 * here; anything else is late, and is dropped and counted.
 */
final class AttemptRunner {
  private final CoordinatorContext context;
  private final ProgramShard shard;
  private final CoordinatorSettings settings;
  private final EngineDirectory engines;
  private final CoordinatorOutput output;
  private final CallAdmission admission;
  private final Map<AttemptId, LiveProgram> running = new LinkedHashMap<>();
  private int nextToolInstance;
  private long lateAnswers;

  AttemptRunner(CoordinatorContext context, CallAdmission admission) {
    this.context = requireNonNull(context, "context");
    this.shard = context.shard();
    this.settings = context.settings();
    this.engines = context.engines();
    this.output = context.output();
    this.admission = requireNonNull(admission, "admission");
  }

  // ---- dispatch ----

  /** Proposes the dispatch of a model call; false if this node does not lead any more. */
  boolean dispatchModelCall(LiveProgram live, LiveCall call, String engine, long nowMillis) {
    return proposeDispatch(live, call, engine, engines.address(engine), true, nowMillis);
  }

  /** Proposes the dispatch of a tool call; false if this node does not lead any more. */
  boolean dispatchToolCall(LiveProgram live, LiveCall call, long nowMillis) {
    Tool tool = context.configuration().get().tool(call.request.target());
    boolean repeatable = admission.operation(call.request).repeatable();
    String address = tool.addresses().get(nextToolInstance % tool.addresses().size());
    nextToolInstance = (nextToolInstance + 1) & Integer.MAX_VALUE;
    return proposeDispatch(live, call, tool.name(), address, repeatable, nowMillis);
  }

  private boolean proposeDispatch(
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
            context.self(),
            request.idempotencyKey(),
            request.target(),
            backend,
            request.operation(),
            call.digest,
            first ? request.body() : Payload.EMPTY,
            nowMillis);
    if (output.propose(record) < 0) {
      return false;
    }
    if (first) {
      context.retryBudget().firstAttempt();
    }
    call.stage = LiveCall.Stage.PROPOSED;
    call.attempt = attemptId(record);
    call.attemptBackend = backend;
    call.attemptAddress = address;
    return true;
  }

  /** The id of an attempt. */
  AttemptId attemptId(CallDispatched record) {
    return new AttemptId(
        record.programId(), record.callSequence(), record.attempt(), context.group().generation());
  }

  /** Sends an attempt whose dispatch record is committed. */
  void startAttempt(LiveProgram live, LiveCall call, CallState state, long nowMillis) {
    call.restartFrom(call.continuation());
    call.resumed = false;
    sendAttempt(live, call, state, false, nowMillis);
  }

  /** Takes up the stream of an attempt that another node sent, or whose connection broke. */
  void resumeAttempt(
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
            admission.priority(program),
            call.timeoutMillis,
            live.programId + ":" + state.first().idempotencyKey()));
  }

  private int toolTimeout(CallerRequest request) {
    var operation = admission.operation(request);
    return operation == null ? settings.modelTimeoutMillis() : operation.timeoutMillis();
  }

  // ---- what back ends say ----

  /** Generated text has arrived. */
  void onText(AttemptId id, int offset, Payload text, long nowMillis) {
    LiveCall call = runningCall(id);
    if (call != null) {
      call.lastProgressMillis = nowMillis;
      call.append(offset, text, output);
    }
  }

  /** The attempt has its whole answer. */
  void onCompleted(AttemptId id, Payload answer, Usage usage) {
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
  void onFailed(AttemptId id, AttemptFailure failure, long nowMillis) {
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

  /** Proposes the record that settles an attempt without answer. */
  void settleFailure(
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

  /** Gives a call up, between two attempts, with its final answer at once. */
  void closeCall(LiveProgram live, LiveCall call, CallState state) {
    ErrorKind kind = state.mayHaveRun() ? ErrorKind.BACKEND_FAILED : ErrorKind.NO_BACKEND;
    settleFailure(live, call, state.latest(), kind, 0, true);
  }

  /** Settles a tool call that a predecessor sent: never again, unless repeating is harmless. */
  void settleLostToolAttempt(LiveProgram live, LiveCall call, CallState open) {
    boolean repeatable = open.first().repeatable();
    ErrorKind kind = repeatable ? ErrorKind.BACKEND_FAILED : ErrorKind.OUTCOME_UNKNOWN;
    settleFailure(live, call, open.latest(), kind, open.latest().reservation(), !repeatable);
  }

  /** Lets time pass for a call at a back end. */
  void tick(LiveProgram live, LiveCall call, long nowMillis) {
    boolean model = call.request.kind() == CallerRequest.Kind.MODEL_CALL;
    boolean abandoned =
        call.abandonedSinceMillis >= 0
            && nowMillis - call.abandonedSinceMillis >= settings.cancelGraceMillis();
    if (nowMillis - call.lastProgressMillis > call.timeoutMillis) {
      output.cancelAttempt(call.attempt, call.attemptBackend, call.attemptAddress);
      onFailed(call.attempt, AttemptFailure.TIMED_OUT, nowMillis);
    } else if (model && abandoned) {
      output.cancelAttempt(call.attempt, call.attemptBackend, call.attemptAddress);
      endAttempt(call.attempt, call);
      CallDispatched latest = shard.program(live.programId).openCall().latest();
      settleFailure(live, call, latest, ErrorKind.CANCELLED, latest.reservation(), true);
    }
  }

  /** Leaves all attempts to another node. */
  void abandonAll() {
    for (Map.Entry<AttemptId, LiveProgram> entry : running.entrySet()) {
      LiveCall call = entry.getValue().active;
      if (call != null) {
        engines.attemptEnded(call.attemptBackend);
      }
      output.abandonAttempt(entry.getKey());
    }
    running.clear();
  }

  /** Answers of attempts that were no longer awaited. */
  long lateAnswers() {
    return lateAnswers;
  }
}
