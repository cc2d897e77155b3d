package org.baykeel.gateway.call;

import java.util.Set;
import org.baykeel.core.error.ErrorKind;
import org.baykeel.gateway.residency.Residency;
import org.baykeel.gateway.scheduling.EngineSelector;

/** Determines the error with which the attempts of a call end. */
final class AttemptFailures {
  private static final long BUSY_RETRY_MILLIS = 150;

  private final GatewayContext context;
  private final AuthorizedCall call;
  private final CallRecord record;
  private final CallQuarantine quarantine;

  /**
   * An error.
   *
   * @param retryMillis when the caller may retry, in milliseconds; 0 if it should not
   */
  record Failure(ErrorKind kind, long retryMillis, String detail) {}

  AttemptFailures(
      GatewayContext context, AuthorizedCall call, CallRecord record, CallQuarantine quarantine) {
    this.context = context;
    this.call = call;
    this.record = record;
    this.quarantine = quarantine;
  }

  /** Engines ended while they ran the request. */
  Failure fatal(int runs) {
    ErrorKind kind = runs > 0 ? ErrorKind.ENGINES_ENDED : ErrorKind.REQUEST_QUARANTINED;
    String detail = "engines ended while they ran it, work=" + quarantine.knownFingerprint();
    return new Failure(kind, 0, detail);
  }

  /** Too many engines may still end under the request. */
  Failure held(int runs) {
    String detail = "engines ended or may end under it, work=" + quarantine.knownFingerprint();
    long retryMillis = quarantine.retryMillis();
    record.held(quarantine.knownFingerprint(), runs, retryMillis);
    return runs > 0 ? afterRun(detail) : new Failure(ErrorKind.REQUEST_HELD, retryMillis, detail);
  }

  /** An engine may have run the request, and no further attempt is allowed. */
  Failure afterRun(String detail) {
    boolean repeatable = call.route().repeatable();
    ErrorKind kind = repeatable ? ErrorKind.BACKEND_FAILED : ErrorKind.OUTCOME_UNKNOWN;
    return new Failure(kind, 0, detail);
  }

  /** No engine takes the request, and none has run it. */
  Failure withoutEngine(EngineSelector.Criteria criteria) {
    if (criteria.requiredVersion().isPresent() && noEngineOfVersion(criteria)) {
      String version = criteria.requiredVersion().get().toString();
      return new Failure(
          ErrorKind.STREAM_NOT_RESUMABLE,
          0,
          "no engine of software version " + version + " takes work");
    }
    Residency allowed = call.residency();
    ErrorKind kind = allowed.bound() ? ErrorKind.RESIDENCY : ErrorKind.NO_BACKEND;
    String where = allowed.bound() ? " in " + allowed : "";
    return new Failure(kind, BUSY_RETRY_MILLIS, "no engine takes work" + where);
  }

  private boolean noEngineOfVersion(EngineSelector.Criteria criteria) {
    long now = context.eventLoop().nanoTime();
    return context.selector().nextCapacityNanos(criteria, Set.of(), now) == Long.MAX_VALUE;
  }
}
