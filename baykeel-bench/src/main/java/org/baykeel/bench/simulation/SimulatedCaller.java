package org.baykeel.bench.simulation;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.baykeel.bench.replay.Promise;
import org.baykeel.core.error.ErrorKind;
import org.baykeel.core.error.Execution;
import org.baykeel.core.message.CallerReply;
import org.baykeel.core.message.CallerRequest;
import org.baykeel.core.message.Payload;
import org.baykeel.core.routing.ProgramIds;
import org.baykeel.emulator.engine.AnswerText;

/**
 * One program in virtual time: creates itself, makes its calls, retries with the same key through
 * whichever node answers, and checks every answer.
 */
final class SimulatedCaller {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int PATIENCE_MILLIS = 8_000;
  private static final int RETRY_MILLIS = 400;
  private static final int FAR_DEADLINE_MILLIS = 60_000;
  private static final int SHORT_DEADLINE_MILLIS = 150;

  /** What the program does next. */
  private enum Step {
    CREATE,
    CALL,
    END,
    DONE
  }

  /** One request until it is settled. */
  private static final class Request {
    final CallerRequest template;
    final int number;
    final int deadlineMillis;
    SimulatedNode edge;
    int edgeLife;
    long requestId = -1;
    int tries;
    boolean settled;
    boolean openElsewhere;
    ByteArrayOutputStream received = new ByteArrayOutputStream();

    Request(CallerRequest template, int number, int deadlineMillis) {
      this.template = template;
      this.number = number;
      this.deadlineMillis = deadlineMillis;
    }
  }

  private final Simulation simulation;
  private final SplittableRandom random;
  private final String tenant;
  private final String name;
  private final SimulatedCaller parent;
  private final List<String> contents = new ArrayList<>();
  private final List<SimulatedCaller> children = new ArrayList<>();
  private final int callsToMake;
  private String programId;
  private Step step = Step.CREATE;
  private int issued;
  private int outstanding;
  private boolean gaveUp;

  SimulatedCaller(
      Simulation simulation,
      SplittableRandom random,
      String tenant,
      String name,
      SimulatedCaller parent) {
    this.simulation = requireNonNull(simulation, "simulation");
    this.random = requireNonNull(random, "random");
    this.tenant = requireNonNull(tenant, "tenant");
    this.name = requireNonNull(name, "name");
    this.parent = parent;
    this.callsToMake = 1 + random.nextInt(parent == null ? 9 : 3);
  }

  boolean isDone() {
    return step == Step.DONE && children.stream().allMatch(SimulatedCaller::isDone);
  }

  String describe() {
    return name + " " + programId + " at " + step + " issued=" + issued + " open=" + outstanding;
  }

  String programId() {
    return programId;
  }

  String root() {
    return parent == null ? programId : parent.root();
  }

  /** Creates the program. */
  void begin() {
    String seed = tenant + "\n" + name;
    String parentId = parent == null ? "" : parent.programId;
    int shard =
        parent == null
            ? ProgramIds.shardFor(seed, simulation.shardCount())
            : ProgramIds.shardOf(parentId, simulation.shardCount());
    programId = ProgramIds.create(shard, seed);
    String programClass = parent == null && random.nextInt(3) == 0 ? "poor" : "ordinary";
    simulation.register(this);
    if (parent == null) {
      simulation.observer().programCreated(programId, Simulation.budgetOf(programClass));
    }
    issue(request(CallerRequest.Kind.CREATE_PROGRAM, "", programClass, parentId, Payload.EMPTY));
  }

  private Request request(
      CallerRequest.Kind kind, String key, String target, String operation, Payload body) {
    int deadline = FAR_DEADLINE_MILLIS;
    boolean call = kind == CallerRequest.Kind.TOOL_CALL || kind == CallerRequest.Kind.MODEL_CALL;
    if (call && random.nextInt(12) == 0) {
      deadline = SHORT_DEADLINE_MILLIS;
    }
    int tokens = kind == CallerRequest.Kind.MODEL_CALL ? 6 + random.nextInt(20) : 0;
    CallerRequest template =
        new CallerRequest(
            kind,
            ProgramIds.shardOf(programId, simulation.shardCount()),
            tenant,
            programId,
            key.isEmpty() ? name + "-" + kind : key,
            0,
            tokens,
            target,
            operation,
            body,
            Payload.EMPTY);
    return new Request(template, issued, deadline);
  }

  private void advance() {
    if (outstanding > 0) {
      return;
    }
    if (gaveUp || issued >= callsToMake) {
      if (children.stream().allMatch(SimulatedCaller::isDone)) {
        step = Step.END;
        issue(request(CallerRequest.Kind.END_PROGRAM, "", "", "", Payload.EMPTY));
      } else {
        simulation.time().afterMillis(RETRY_MILLIS, this::advance);
      }
      return;
    }
    step = Step.CALL;
    simulation.time().afterMillis(random.nextInt(900), this::nextCalls);
  }

  private void nextCalls() {
    if (parent == null && children.size() < 2 && random.nextInt(6) == 0) {
      SimulatedCaller child =
          new SimulatedCaller(
              simulation, random.split(), tenant, name + "." + children.size(), this);
      children.add(child);
      child.begin();
    }
    if (random.nextInt(2) == 0) {
      issue(modelCall());
      return;
    }
    SimulatedNode edge = simulation.someNode(random);
    int together = 1 + random.nextInt(3);
    for (int i = 0; i < together && issued < callsToMake; i++) {
      Request call = toolCall();
      call.edge = edge;
      issue(call);
    }
  }

  private Request modelCall() {
    issued++;
    String content = name + " message " + issued + " " + "x".repeat(random.nextInt(300));
    contents.add(content);
    try {
      Payload body =
          Payload.of("{\"role\":\"user\",\"content\":" + MAPPER.writeValueAsString(content) + "}");
      return request(CallerRequest.Kind.MODEL_CALL, "call-" + issued, "model", "", body);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private Request toolCall() {
    issued++;
    String operation = random.nextBoolean() ? "lookup" : "upload";
    Payload body = Payload.of(issued + " " + name);
    return request(CallerRequest.Kind.TOOL_CALL, "call-" + issued, "tool", operation, body);
  }

  // ---- sending and retrying ----

  private void issue(Request request) {
    outstanding++;
    send(request);
  }

  private void send(Request request) {
    request.tries++;
    SimulatedNode edge = request.edge;
    if (request.tries > 1 || edge == null || !edge.isAlive()) {
      edge = simulation.someNode(random);
      if (request.tries > 1 || request.edge != null) {
        simulation.observer().issuedAgain(programId, request.template.idempotencyKey());
      }
    }
    if (edge == null) {
      retryLater(request, RETRY_MILLIS);
      return;
    }
    request.edge = edge;
    request.edgeLife = edge.life();
    request.received = new ByteArrayOutputStream();
    request.requestId = simulation.nextRequestId();
    long sentAs = request.requestId;
    simulation.submit(
        edge, sentAs, withDeadline(request), reply -> onReplyTo(request, sentAs, reply));
    simulation.time().afterMillis(PATIENCE_MILLIS, () -> losePatience(request, sentAs));
  }

  private CallerRequest withDeadline(Request request) {
    CallerRequest template = request.template;
    return new CallerRequest(
        template.kind(),
        template.shard(),
        template.tenant(),
        template.programId(),
        template.idempotencyKey(),
        simulation.time().millis() + request.deadlineMillis,
        template.maximumTokens(),
        template.target(),
        template.operation(),
        template.body(),
        Payload.EMPTY);
  }

  private void losePatience(Request request, long sentAs) {
    if (!request.settled && request.requestId == sentAs) {
      request.requestId = -1;
      request.openElsewhere = true;
      simulation.hangUp(request.edge, request.edgeLife, sentAs);
      retryLater(request, 0);
    }
  }

  /** The node that holds the connection has died. */
  private void onConnectionLost(Request request) {
    if (!request.settled) {
      request.requestId = -1;
      request.openElsewhere = true;
      retryLater(request, RETRY_MILLIS);
    }
  }

  private void retryLater(Request request, int delayMillis) {
    simulation.time().afterMillis(Math.max(1, delayMillis), () -> send(request));
  }

  /** What still comes over a connection that the caller has closed does not reach it. */
  private void onReplyTo(Request request, long sentAs, CallerReply reply) {
    if (request.requestId == sentAs) {
      on(request, reply);
    }
  }

  private void on(Request request, CallerReply reply) {
    if (request.settled) {
      return;
    }
    if (reply == null) {
      onConnectionLost(request);
    } else if (reply instanceof CallerReply.Chunk chunk) {
      if (chunk.offset() != request.received.size()) {
        simulation.observer().violation(Promise.WHOLE_ANSWER, name + ": a gap in the stream");
      }
      request.received.writeBytes(chunk.text().array());
    } else if (reply instanceof CallerReply.Completed completed) {
      settle(request);
      onCompleted(request, completed);
    } else if (reply instanceof CallerReply.Failed failed) {
      onFailed(request, failed);
    }
  }

  private void settle(Request request) {
    request.settled = true;
    outstanding--;
  }

  private void onCompleted(Request request, CallerReply.Completed completed) {
    switch (request.template.kind()) {
      case MODEL_CALL -> checkModelAnswer(request, completed.answer());
      case TOOL_CALL -> checkToolAnswer(request, completed.answer());
      case END_PROGRAM -> {
        step = Step.DONE;
        simulation.observer().programEnded(programId);
        return;
      }
      default -> {
        // A creation has nothing to check.
      }
    }
    advance();
  }

  private void checkModelAnswer(Request request, Payload answer) {
    byte[] streamed = request.received.toByteArray();
    byte[] whole = answer.array();
    boolean prefix =
        whole.length >= streamed.length
            && Arrays.equals(whole, 0, streamed.length, streamed, 0, streamed.length);
    int expected = request.template.maximumTokens() * AnswerText.TOKEN_BYTES;
    if (!prefix || whole.length != expected) {
      simulation
          .observer()
          .violation(
              Promise.WHOLE_ANSWER,
              name + " call " + request.number + ": " + whole.length + " of " + expected);
    }
    if (!answer.text().startsWith(AnswerText.header(AnswerText.digest(contents)))) {
      simulation
          .observer()
          .violation(Promise.HISTORY, name + " call " + request.number + ": other prompt");
    }
    contents.add(answer.text());
  }

  private void checkToolAnswer(Request request, Payload answer) {
    if (!answer.equals(SimulatedTool.answerTo(programId, request.template.body()))) {
      simulation
          .observer()
          .violation(
              Promise.WHOLE_ANSWER,
              name + " call " + request.number + ": answer of another: " + answer.text());
    }
  }

  private void onFailed(Request request, CallerReply.Failed failed) {
    ErrorKind kind = failed.kind();
    boolean notRun = kind.execution() == Execution.NOT_RUN;
    boolean call = request.template.isCall();
    boolean mayGiveUp = call && notRun && !request.openElsewhere;
    boolean impatient = mayGiveUp && random.nextInt(3) == 0;
    if (kind.retryAdvice() != ErrorKind.RetryAdvice.NEVER && !impatient) {
      retryLater(request, Math.max(RETRY_MILLIS, failed.retryAfterMillis()));
      return;
    }
    settle(request);
    if (mayGiveUp) {
      simulation.observer().givenUpAsNotRun(programId, request.template.idempotencyKey());
    }
    onGivenUp(request, kind);
  }

  private void onGivenUp(Request request, ErrorKind kind) {
    if (request.template.kind() == CallerRequest.Kind.MODEL_CALL) {
      contents.remove(contents.size() - 1);
    }
    if (request.template.kind() == CallerRequest.Kind.CREATE_PROGRAM) {
      step = Step.DONE;
      return;
    }
    if (kind == ErrorKind.INVALID_REQUEST || kind == ErrorKind.KEY_REUSED) {
      simulation.observer().violation(Promise.WHOLE_ANSWER, name + " was told " + kind);
    }
    if (kind == ErrorKind.UNKNOWN_PROGRAM) {
      simulation.observer().violation(Promise.HISTORY, name + " is not known any more");
      step = Step.DONE;
      return;
    }
    boolean over = kind == ErrorKind.BUDGET_EXCEEDED || kind == ErrorKind.PROGRAM_ENDED;
    gaveUp = gaveUp || over;
    advance();
  }
}
