package org.baykeel.core.program;

import static java.util.Objects.requireNonNull;

import java.util.function.Supplier;
import org.baykeel.core.configuration.ConfigurationImage;
import org.baykeel.core.configuration.Declarations.BackendState;
import org.baykeel.core.configuration.Declarations.Model;
import org.baykeel.core.configuration.Declarations.Operation;
import org.baykeel.core.configuration.Declarations.ProgramClass;
import org.baykeel.core.configuration.Declarations.Tool;
import org.baykeel.core.error.ErrorKind;
import org.baykeel.core.message.CallKind;
import org.baykeel.core.message.CallerReply;
import org.baykeel.core.message.CallerRequest;
import org.baykeel.core.message.Usage;

/** Decides whether a call may be dispatched, and what it can cost at most. */
final class CallAdmission {
  /** Tokens that an engine may add around the messages. */
  private static final int TEMPLATE_TOKENS = 64;

  /** Priority of a program whose class is not declared any more. */
  private static final int LOWEST_PRIORITY = 1_000;

  private static final int NO_BACKEND_RETRY_MILLIS = 2_000;

  private final Supplier<ConfigurationImage> configuration;

  CallAdmission(Supplier<ConfigurationImage> configuration) {
    this.configuration = requireNonNull(configuration, "configuration");
  }

  /** The refusal of a call that may not be dispatched now, or null. */
  CallerReply.Failed refusal(ProgramState program, CallerRequest request, long nowMillis) {
    if (program.ended() != null) {
      return failed(ErrorKind.PROGRAM_ENDED, 0);
    }
    if (nowMillis > request.deadlineMillis()) {
      return failed(ErrorKind.DEADLINE_PASSED, 0);
    }
    if (program.calls().size() >= program.created().turnLimit()) {
      return failed(ErrorKind.TURN_LIMIT, 0);
    }
    return request.kind() == CallerRequest.Kind.MODEL_CALL
        ? refusalOfModelCall(program, request)
        : refusalOfToolCall(program, request);
  }

  private CallerReply.Failed refusalOfModelCall(ProgramState program, CallerRequest request) {
    Model model = configuration.get().model(request.target());
    if (model == null) {
      return failed(ErrorKind.UNKNOWN_TARGET, 0);
    }
    int most = promptTokenBound(program, request) + request.maximumTokens();
    if (most > model.maximumContextTokens()) {
      return failed(ErrorKind.TOO_LARGE, 0);
    }
    return refusalOfCost(program, reservation(program, request));
  }

  private CallerReply.Failed refusalOfToolCall(ProgramState program, CallerRequest request) {
    Tool tool = configuration.get().tool(request.target());
    if (tool == null || tool.operation(request.operation()) == null) {
      return failed(ErrorKind.UNKNOWN_TARGET, 0);
    }
    if (tool.state() == BackendState.DRAINING) {
      return failed(ErrorKind.NO_BACKEND, NO_BACKEND_RETRY_MILLIS);
    }
    return refusalOfCost(program, reservation(program, request));
  }

  private static CallerReply.Failed refusalOfCost(ProgramState program, long reservation) {
    return reservation > program.available() ? failed(ErrorKind.BUDGET_EXCEEDED, 0) : null;
  }

  /** The most that one attempt can cost, in cost units. */
  long reservation(ProgramState program, CallerRequest request) {
    if (request.kind() == CallerRequest.Kind.TOOL_CALL) {
      Operation operation = operation(request);
      return operation == null ? 0 : operation.cost();
    }
    Model model = configuration.get().model(request.target());
    if (model == null) {
      return 0;
    }
    long promptCost = promptTokenBound(program, request) * model.promptPrice();
    return promptCost + request.maximumTokens() * model.completionPrice();
  }

  /** What a finished attempt cost, in cost units; never more than was reserved. */
  long cost(CallState call, Usage usage) {
    if (call.first().kind() == CallKind.TOOL) {
      return call.latest().reservation();
    }
    Model model = configuration.get().model(call.first().target());
    if (model == null) {
      return call.latest().reservation();
    }
    long cost =
        usage.promptTokens() * model.promptPrice()
            + usage.completionTokens() * model.completionPrice();
    return Math.min(cost, call.latest().reservation());
  }

  /** Priority of a program's class; lower numbers go first. */
  int priority(ProgramState program) {
    ProgramClass programClass = configuration.get().programClass(program.created().programClass());
    return programClass == null ? LOWEST_PRIORITY : programClass.priority();
  }

  /** The declared operation of a tool call, or null. */
  Operation operation(CallerRequest request) {
    Tool tool = configuration.get().tool(request.target());
    return tool == null ? null : tool.operation(request.operation());
  }

  /**
   * An upper bound of the prompt's tokens: the history as the engine counted it, and one token for
   * each byte of the new messages.
   */
  static int promptTokenBound(ProgramState program, CallerRequest request) {
    return program.historyTokens()
        + request.body().length()
        + request.receivedText().length()
        + TEMPLATE_TOKENS;
  }

  static CallerReply.Failed failed(ErrorKind kind, int retryAfterMillis) {
    return new CallerReply.Failed(kind, kind.summary(), retryAfterMillis);
  }
}
