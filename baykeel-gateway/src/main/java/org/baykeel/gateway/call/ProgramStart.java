package org.baykeel.gateway.call;

import java.util.Locale;
import java.util.function.Consumer;
import org.baykeel.core.error.ErrorKind;
import org.baykeel.gateway.admission.AdmissionDecision;
import org.baykeel.gateway.admission.AdmissionRequest;
import org.baykeel.gateway.admission.ProgramAdmission;
import org.baykeel.gateway.budget.ProgramBudgets.Started;
import org.baykeel.gateway.configuration.Route;
import org.baykeel.gateway.configuration.RouteKind;
import org.baykeel.gateway.directory.Engine;

/**
 * Whether a turn is the first of its program, and if so whether the program may begin; also tells
 * what the turns of programs take. A program that has begun anywhere is never refused here: while
 * it matters and this node does not know, the store is asked.
 */
final class ProgramStart {
  private final GatewayContext context;
  private final AuthorizedCall call;
  private final CallAttributes attributes;
  private final Route route;
  private final String service;
  private final ProgramAdmission admission;
  private final String program;
  private final String line;
  private boolean mayOpen;
  private boolean begunElsewhere;
  private boolean turnBegan;
  private boolean closed;

  /** Creates an opening on which nothing is decided. */
  ProgramStart(GatewayContext context, AuthorizedCall call) {
    this.context = context;
    this.call = call;
    this.attributes = call.attributes();
    this.route = call.route();
    this.service = call.service();
    this.admission = context.admission();
    this.program = call.caller().scoped(attributes.programId());
    this.line = call.caller().scoped(attributes.sessionId());
  }

  /**
   * Decides whether the call may go on.
   *
   * @param admitted runs if it may, unless the call is over by then
   * @param refused takes what the caller is told if it may not
   */
  void judge(Runnable admitted, Consumer<Refusal> refused) {
    if (route.kind() != RouteKind.STREAMING) {
      noteToolUse();
      admitted.run();
      return;
    }
    mayOpen = mayOpen();
    if (!mayOpen || admission.unrestricted(opening(), now())) {
      begin(admitted);
    } else if (!attributes.budgeted()) {
      decide(admitted, refused);
    } else if (!context.storeHealth().reachable()) {
      begin(admitted);
    } else {
      context.budgets().findStarted(program, begun -> onFound(begun, admitted, refused));
    }
  }

  private void noteToolUse() {
    if (line != null) {
      admission.toolUsed(line, service);
    }
  }

  /** Whether the program may be a new one, as far as is known here. */
  private boolean mayOpen() {
    if (!attributes.firstLine() || attributes.previousTurn() != null || admission.served(line)) {
      return false;
    }
    return attributes.budgeted() ? !context.budgets().isKnown(program) : !promptSeen();
  }

  /** Whether an engine was sent a prompt with the same last part, which grows with the program. */
  private boolean promptSeen() {
    for (Engine engine : context.state().engines(service)) {
      if (engine.cachedPrefixes().containsOwnPart(attributes.prompt())) {
        return true;
      }
    }
    return false;
  }

  private void onFound(Started begun, Runnable admitted, Consumer<Refusal> refused) {
    if (closed) {
      return;
    }
    if (begun == Started.NO) {
      decide(admitted, refused);
    } else {
      begunElsewhere = begun == Started.YES;
      begin(admitted);
    }
  }

  private void decide(Runnable admitted, Consumer<Refusal> refused) {
    AdmissionDecision judgement =
        admission.decide(opening(), attributes.requestId(), attributes.programId(), now());
    if (judgement.admitted()) {
      begin(admitted);
    } else {
      context.metrics().admissionDecided(judgement.cause().name().toLowerCase(Locale.ROOT));
      refused.accept(
          new Refusal(ErrorKind.OVERLOADED, judgement.retryMillis(), judgement.cause().phrase()));
    }
  }

  private void begin(Runnable admitted) {
    if (attributes.firstLine()) {
      turnBegan = true;
      admission.turnBegan(route.name(), line, now());
    }
    if (mayOpen && !attributes.budgeted()) {
      opened();
    }
    admitted.run();
  }

  /** The program turned out to be a new one. */
  void opened() {
    context.metrics().admissionDecided("admitted");
    admission.programOpened(route.name(), attributes.finishMillis(), now());
  }

  /** Whether the program is known to have begun, though this process serves its first turn. */
  boolean begunElsewhere() {
    return begunElsewhere;
  }

  /** The call is over. */
  void close() {
    closed = true;
    if (turnBegan) {
      turnBegan = false;
      admission.turnEnded(line, now());
    }
  }

  private AdmissionRequest opening() {
    return new AdmissionRequest(
        route.name(),
        call.caller().priority(route.priority()),
        call.caller(),
        service,
        route.targetLatencyMillis(),
        attributes.finishMillis(),
        call.use());
  }

  private long now() {
    return context.eventLoop().nanoTime();
  }
}
