package org.baykeel.gateway.call;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.baykeel.gateway.directory.Engine;
import org.baykeel.gateway.program.RequestFingerprint;
import org.baykeel.gateway.quarantine.Verdict;
import org.baykeel.gateway.scheduling.EngineSelector;

/** What the quarantine of the node means for one call. */
final class CallQuarantine {
  private final GatewayContext context;
  private final AuthorizedCall call;
  private RequestFingerprint.Builder builder;
  private RequestFingerprint fingerprint;

  CallQuarantine(GatewayContext context, AuthorizedCall call) {
    this.context = context;
    this.call = call;
  }

  /** Sets the body for engines; must precede all other calls. */
  void setBody(byte[] engineBody) {
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

  /**
   * Selects an engine. A suspect goes to an engine that the quarantine prefers, if one of them
   * takes it.
   *
   * @param triedEngines identifiers of engines that were already tried
   * @return a choice, or null if no engine takes the call
   */
  EngineSelector.Choice choose(
      EngineSelector.Criteria criteria, Set<String> triedEngines, long nowNanos) {
    if (verdict() == Verdict.SUSPECT) {
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

  /**
   * Records that the connection to the engine of an attempt was lost.
   *
   * @param decided is called exactly once, when it is known whether the engine has ended or after a
   *     short time limit
   */
  void connectionLost(Engine engine, Runnable decided) {
    context.quarantine().connectionLost(engine, fingerprint(), decided);
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
