package org.baykeel.gateway.call;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.baykeel.gateway.buffering.EngineBody;
import org.baykeel.gateway.directory.Engine;
import org.baykeel.gateway.program.RequestFingerprint;
import org.baykeel.gateway.quarantine.EngineRun;
import org.baykeel.gateway.quarantine.Verdict;
import org.baykeel.gateway.scheduling.EngineSelector;

/** What the quarantine of the node means for one call. */
final class CallQuarantine {
  private static final long MIN_RETRY_MILLIS = 200;

  private final GatewayContext context;
  private final AuthorizedCall call;
  private RequestFingerprint.Builder builder;
  private RequestFingerprint fingerprint;
  private EngineRun run;
  private Verdict claimVerdict = Verdict.CLEAR;

  CallQuarantine(GatewayContext context, AuthorizedCall call) {
    this.context = context;
    this.call = call;
  }

  /** Sets the body for engines; must precede all other calls. */
  void setBody(EngineBody engineBody) {
    builder = CallFingerprint.builder(call, engineBody);
  }

  /** Computes the fingerprint of the call, so that the log can name it. */
  void identify() {
    fingerprint();
  }

  /** Returns the fingerprint of the call, or null if it was not needed so far. */
  RequestFingerprint knownFingerprint() {
    return fingerprint;
  }

  private RequestFingerprint fingerprint() {
    if (fingerprint == null) {
      fingerprint = builder.build();
    }
    return fingerprint;
  }

  private boolean mayBeSuspect() {
    return context.quarantine().isSuspectHead(builder::head);
  }

  /** Returns whether the call may be sent. */
  Verdict verdict() {
    return mayBeSuspect() ? context.quarantine().verdict(fingerprint()) : Verdict.CLEAR;
  }

  /** Returns whether the call may be sent now, and claims the send if that is needed. */
  Verdict claim() {
    if (run == null) {
      run = context.quarantine().newRun(builder);
    }
    claimVerdict = mayBeSuspect() ? run.claim() : Verdict.CLEAR;
    return claimVerdict;
  }

  /** Withdraws the claim, if any: the call is not sent now. */
  void withdrawClaim() {
    if (run != null) {
      run.withdraw();
    }
  }

  /** Records that the call is sent to an engine, after a claim. */
  void sent(Engine engine) {
    run.sent(engine, call.deadlineNanos());
  }

  /** Returns the run of the last send, which ends now. */
  EngineRun takeRun() {
    EngineRun ending = run;
    run = null;
    return ending;
  }

  /** Returns when the call may be sent again, in milliseconds from now. */
  long retryMillis() {
    return Math.max(MIN_RETRY_MILLIS, context.quarantine().retryMillis(fingerprint()));
  }

  /**
   * Selects an engine. A suspect goes to an engine that the quarantine prefers, if one of them
   * takes it.
   *
   * @param triedEngines identifiers of engines that were already tried
   * @return a choice, or null if no engine takes the call
   */
  EngineSelector.Choice choose(
      EngineSelector.Criteria criteria, Set<String> triedEngines, long nowNanos) {
    if (claimVerdict == Verdict.SUSPECT) {
      List<String> preferred = context.quarantine().preferredEngines(fingerprint(), call.service());
      for (String engineId : preferred) {
        EngineSelector.Choice choice =
            triedEngines.contains(engineId)
                ? null
                : context.selector().choose(criteria, allBut(engineId), nowNanos);
        if (choice != null) {
          return choice;
        }
      }
    }
    return context.selector().choose(criteria, triedEngines, nowNanos);
  }

  private Set<String> allBut(String engineId) {
    Set<String> others = new HashSet<>();
    for (Engine engine : context.state().engines(call.service())) {
      others.add(engine.record().id());
    }
    others.remove(engineId);
    return others;
  }

  /** Records that the engine of an attempt responded. */
  void responded(EngineAttempt attempt) {
    context.quarantine().responded(attempt.engine(), attempt.startedNanos());
  }

  /** Records that an engine ran the call to its end. */
  void completed() {
    if (mayBeSuspect()) {
      context.quarantine().completed(fingerprint());
    }
  }
}
