package org.baykeel.gateway.call;

import java.util.Optional;
import java.util.function.Consumer;
import org.baykeel.core.error.ErrorKind;
import org.baykeel.gateway.configuration.GatewayConfiguration;
import org.baykeel.gateway.configuration.Route;
import org.baykeel.gateway.configuration.RouteKind;
import org.baykeel.gateway.program.ProgramId;
import org.baykeel.gateway.ratelimit.LimitedRequest;
import org.baykeel.gateway.ratelimit.RequestKind;
import org.baykeel.gateway.ratelimit.RequestLimiter.Decision;
import org.baykeel.gateway.tenancy.Caller;
import org.baykeel.gateway.tenancy.KeyAuthenticator.KeyDecision;
import org.baykeel.gateway.tenancy.LimitUse;
import org.baykeel.gateway.tenancy.Tenant;

/**
 * The first step of a call: determines its route and tenant and charges one request to the tenant's
 * limit. Nothing is sent to an engine before this step has completed.
 */
final class CallAuthorization {
  private static final long NOT_READY_RETRY_MILLIS = 250;

  /** Other nodes may have a recent enough configuration; the caller retries at one of them. */
  private static final long STALE_RETRY_MILLIS = 100;

  /**
   * The retry delay while this node's calls to the store fail: the store is then assumed to be
   * unreachable for all nodes. Callers wait no longer than a third of the time that they have, and
   * their few retries should last until the store is back.
   */
  private static final long OUTAGE_RETRY_MILLIS = 1_000;

  /** A token bucket without a holder gets one within the term of a lease. */
  private static final long NO_HOLDER_RETRY_MILLIS = 300;

  /** The part of a request's time that the decision on its limit may take. */
  private static final double LIMIT_PART_OF_TIME = 0.3;

  private final GatewayContext context;
  private final CallRequest request;
  private final Consumer<Outcome> outcomeListener;
  private GatewayConfiguration configuration;
  private Route route;

  /** The outcome of the step. */
  sealed interface Outcome {
    /**
     * The call may proceed.
     *
     * @param configuration the configuration under which it runs
     * @param route its route
     * @param caller on whose behalf it runs
     * @param limitUse the tenant's recent use of its limit
     */
    record Authorized(
        GatewayConfiguration configuration, Route route, Caller caller, LimitUse limitUse)
        implements Outcome {}

    /**
     * The call ends here.
     *
     * @param route its route; null if it has none
     * @param tenant the name of its tenant, for the log
     * @param refusal the refusal that the caller gets
     */
    record Refused(Route route, String tenant, Refusal refusal) implements Outcome {}
  }

  /**
   * Creates a step that has not started.
   *
   * @param outcomeListener receives the outcome, exactly once
   */
  CallAuthorization(
      GatewayContext context, CallRequest request, Consumer<Outcome> outcomeListener) {
    this.context = context;
    this.request = request;
    this.outcomeListener = outcomeListener;
  }

  void start() {
    configuration = context.state().configuration();
    if (configuration == null) {
      refuse(ErrorKind.NOT_READY, NOT_READY_RETRY_MILLIS, "no configuration");
      return;
    }
    route = configuration.findRoute(request.host(), request.path());
    if (route == null) {
      refuseUnknownRoute();
    } else if (!configuration.tenants().keysRequired()) {
      authorize(Caller.WITHOUT_KEYS, LimitUse.UNKNOWN);
    } else if (route.anonymous()) {
      authorize(Caller.ANONYMOUS, LimitUse.UNKNOWN);
    } else {
      context
          .authenticator()
          .authenticate(
              request.attributes().apiKey(), request.receivedNanos(), this::onKeyDecision);
    }
  }

  private void refuseUnknownRoute() {
    if (context.state().configurationRecent()) {
      refuse(ErrorKind.UNKNOWN_RESOURCE, 0, "no route");
    } else {
      refuse(
          ErrorKind.NOT_READY,
          NOT_READY_RETRY_MILLIS,
          "no route, but the configuration may be outdated");
    }
  }

  private void onKeyDecision(KeyDecision decision) {
    if (decision instanceof KeyDecision.Accepted accepted) {
      context.metrics().keyChecked("accepted");
      chargeLimit(accepted.tenant());
    } else if (decision instanceof KeyDecision.Undecided undecided) {
      context.metrics().keyChecked("undecided");
      String detail = "configuration too old, proven_ms_ago=" + undecided.ageMillis();
      refuse(ErrorKind.NOT_READY, retryMillis(STALE_RETRY_MILLIS), detail);
    } else {
      context.metrics().keyChecked("ruled_out");
      refuse(ErrorKind.UNAUTHORIZED, 0, "no tenant has key " + request.attributes().apiKey());
    }
  }

  /**
   * Returns whether the budget of the turn is known to be spent. Such a turn does not run, so it is
   * not charged to the limit.
   */
  private boolean budgetSpent(Tenant tenant) {
    CallAttributes attributes = request.attributes();
    return route.kind() == RouteKind.STREAMING
        && attributes.budgeted()
        && context
            .budgets()
            .exhausted(
                Caller.of(tenant).scoped(attributes.programId()),
                attributes.tokenBudget(),
                attributes.maxOutputTokens());
  }

  private long retryMillis(long whileReachableMillis) {
    return context.storeHealth().reachable() ? whileReachableMillis : OUTAGE_RETRY_MILLIS;
  }

  private void chargeLimit(Tenant tenant) {
    if (budgetSpent(tenant)) {
      refuse(tenant, ErrorKind.BUDGET_EXCEEDED, 0, "budget spent");
      return;
    }
    long timeoutMillis = request.attributes().timeoutMillis(route.timeoutMillis());
    long limitTimeoutMillis = Math.round(timeoutMillis * LIMIT_PART_OF_TIME);
    context
        .limiter()
        .decide(limited(tenant), limitTimeoutMillis, decision -> onDecision(tenant, decision));
  }

  private LimitedRequest limited(Tenant tenant) {
    CallAttributes attributes = request.attributes();
    String program = Caller.of(tenant).scoped(attributes.programId());
    boolean firstTurn =
        route.kind() == RouteKind.STREAMING
            && attributes.firstConversation()
            && !context.budgets().isKnown(program);
    return new LimitedRequest(
        tenant,
        firstTurn ? RequestKind.FIRST_TURN : RequestKind.CONTINUING,
        Optional.ofNullable(program).map(ProgramId::new));
  }

  private void onDecision(Tenant tenant, Decision decision) {
    if (decision instanceof Decision.Allowed allowed) {
      authorize(Caller.of(tenant), allowed.use());
    } else if (decision instanceof Decision.Exceeded exceeded) {
      String detail =
          "tenant's limit exceeded, rate="
              + tenant.limit().requestsPerSecond()
              + " burst="
              + tenant.limit().burst()
              + " left="
              + exceeded.remaining();
      refuse(tenant, ErrorKind.RATE_LIMITED, exceeded.retryMillis(), detail);
    } else {
      refuse(
          tenant,
          ErrorKind.NOT_READY,
          retryMillis(NO_HOLDER_RETRY_MILLIS),
          "no node holds the tenant's limit");
    }
  }

  private void authorize(Caller caller, LimitUse limitUse) {
    outcomeListener.accept(new Outcome.Authorized(configuration, route, caller, limitUse));
  }

  private void refuse(ErrorKind kind, long retryMillis, String detail) {
    outcomeListener.accept(
        new Outcome.Refused(route, "none", jitteredRefusal(kind, retryMillis, detail)));
  }

  private void refuse(Tenant tenant, ErrorKind kind, long retryMillis, String detail) {
    String name = tenant.id().value();
    outcomeListener.accept(
        new Outcome.Refused(route, name, jitteredRefusal(kind, retryMillis, detail)));
  }

  /**
   * Adds jitter to the retry delay, except for a rate limit: there the limiter has computed when a
   * token will be available, and an earlier retry would be in vain.
   */
  private Refusal jitteredRefusal(ErrorKind kind, long retryMillis, String detail) {
    boolean rateLimited = kind == ErrorKind.RATE_LIMITED;
    long delay = rateLimited ? retryMillis : context.admission().retryDelay().jittered(retryMillis);
    return new Refusal(kind, delay, detail);
  }
}
