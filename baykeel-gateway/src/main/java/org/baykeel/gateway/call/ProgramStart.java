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
 * Determines whether a turn starts its program, and if so whether the program may start; also
 * reports the turns of programs to {@link ProgramAdmission}. A program with a token budget that has
 * started at any node is never refused here: if the program could be refused and this node has no
 * record of it, the node reads the store. A program without a budget has no row in the store; only
 * this node's own records show that it has started.
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
  private boolean mayBeNew;
  private boolean startedElsewhere;
  private boolean turnStarted;
  private boolean closed;

  /** Creates an instance that has not decided yet. */
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
   * Decides whether the call may proceed.
   *
   * @param admitted runs if it may, unless the call has ended by then
   * @param refused receives the refusal if it may not
   */
  void decide(Runnable admitted, Consumer<Refusal> refused) {
    if (route.kind() != RouteKind.STREAMING) {
      recordToolCall();
      admitted.run();
      return;
    }
    mayBeNew = mayBeNew();
    if (!mayBeNew || admission.unrestricted(admissionRequest(), now())) {
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

  /** Whether the program may be a new one, by this node's records. */
  private boolean mayBeNew() {
    if (!attributes.firstConversation()
        || attributes.resumesStream()
        || attributes.previousTurn() != null
        || admission.servedRecently(conversation)) {
      return false;
    }
    return attributes.budgeted() ? !context.budgets().isKnown(program) : !promptSentBefore();
  }

  /**
   * Whether this node has sent an engine a prompt with the same last part, which grows with the
   * program.
   */
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
    if (mayBeNew && !attributes.budgeted()) {
      recordStart();
    }
    admitted.run();
  }

  /** Records that the program is a new one. */
  void recordStart() {
    context.metrics().admissionDecided("admitted");
    admission.programStarted(route.name(), attributes.finishMillis(), now());
  }

  /**
   * Whether the program is known to have started at another node, though this is its first turn
   * here.
   */
  boolean startedElsewhere() {
    return startedElsewhere;
  }

  /** Records that the call ended. */
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
