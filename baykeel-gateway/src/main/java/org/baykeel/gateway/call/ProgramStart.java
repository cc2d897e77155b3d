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
  private final String conversation;
  private boolean mayStart;
  private boolean startedElsewhere;
  private boolean turnStarted;
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
    this.conversation = call.caller().scoped(attributes.sessionId());
  }

  /**
   * Decides whether the call may go on.
   *
   * @param admitted runs if it may, unless the call is over by then
   * @param refused takes what the caller is told if it may not
   */
  void decide(Runnable admitted, Consumer<Refusal> refused) {
    if (route.kind() != RouteKind.STREAMING) {
      recordToolCall();
      admitted.run();
      return;
    }
    mayStart = mayStart();
    if (!mayStart || admission.unrestricted(admissionRequest(), now())) {
      proceed(admitted);
    } else if (!attributes.budgeted()) {
      requestAdmission(admitted, refused);
    } else if (!context.storeHealth().reachable()) {
      proceed(admitted);
    } else {
      context.budgets().findStarted(program, started -> onFound(started, admitted, refused));
    }
  }

  private void recordToolCall() {
    if (conversation != null) {
      admission.toolCalled(conversation, service);
    }
  }

  /** Whether the program may be a new one, as far as is known here. */
  private boolean mayStart() {
    if (!attributes.firstConversation()
        || attributes.previousTurn() != null
        || admission.servedRecently(conversation)) {
      return false;
    }
    return attributes.budgeted() ? !context.budgets().isKnown(program) : !promptSentBefore();
  }

  /** Whether an engine was sent a prompt with the same last part, which grows with the program. */
  private boolean promptSentBefore() {
    for (Engine engine : context.state().engines(service)) {
      if (engine.cachedPrefixes().containsOwnPart(attributes.prompt())) {
        return true;
      }
    }
    return false;
  }

  private void onFound(Started started, Runnable admitted, Consumer<Refusal> refused) {
    if (closed) {
      return;
    }
    if (started == Started.NO) {
      requestAdmission(admitted, refused);
    } else {
      startedElsewhere = started == Started.YES;
      proceed(admitted);
    }
  }

  private void requestAdmission(Runnable admitted, Consumer<Refusal> refused) {
    AdmissionDecision decision =
        admission.decide(admissionRequest(), attributes.requestId(), attributes.programId(), now());
    if (decision.admitted()) {
      proceed(admitted);
    } else {
      context.metrics().admissionDecided(decision.cause().name().toLowerCase(Locale.ROOT));
      refused.accept(
          new Refusal(
              ErrorKind.OVERLOADED, decision.retryMillis(), decision.cause().description()));
    }
  }

  private void proceed(Runnable admitted) {
    if (attributes.firstConversation()) {
      turnStarted = true;
      admission.turnStarted(route.name(), conversation, now());
    }
    if (mayStart && !attributes.budgeted()) {
      recordStart();
    }
    admitted.run();
  }

  /** The program turned out to be a new one. */
  void recordStart() {
    context.metrics().admissionDecided("admitted");
    admission.programStarted(route.name(), attributes.finishMillis(), now());
  }

  /** Whether the program is known to have begun, though this process serves its first turn. */
  boolean startedElsewhere() {
    return startedElsewhere;
  }

  /** The call is over. */
  void close() {
    closed = true;
    if (turnStarted) {
      turnStarted = false;
      admission.turnEnded(conversation, now());
    }
  }

  private AdmissionRequest admissionRequest() {
    return new AdmissionRequest(
        route.name(),
        call.caller().priority(route.priority()),
        call.caller(),
        service,
        route.targetLatencyMillis(),
        attributes.finishMillis(),
        call.limitUse());
  }

  private long now() {
    return context.eventLoop().nanoTime();
  }
}
