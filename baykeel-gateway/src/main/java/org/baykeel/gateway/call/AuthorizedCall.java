package org.baykeel.gateway.call;

import org.baykeel.gateway.configuration.Route;
import org.baykeel.gateway.configuration.RouteKind;
import org.baykeel.gateway.configuration.ServiceProfile;
import org.baykeel.gateway.residency.Residency;
import org.baykeel.gateway.scheduling.BackendSelector;
import org.baykeel.gateway.tenancy.Caller;
import org.baykeel.gateway.tenancy.LimitUse;

/**
 * A call that {@link CallAuthorization} has passed, with the decisions made before an engine is
 * selected.
 *
 * @param request the caller's request
 * @param route its route
 * @param caller on whose behalf it runs
 * @param limitUse the tenant's recent use of its limit
 * @param service the service that runs it
 * @param tokensPerEvent tokens in one event of that service's streams
 * @param deadlineNanos the deadline of the caller, by the event loop's clock
 */
record AuthorizedCall(
    CallRequest request,
    Route route,
    Caller caller,
    LimitUse limitUse,
    String service,
    int tokensPerEvent,
    long deadlineNanos) {

  /** Selects the service of an authorized request. */
  static AuthorizedCall of(
      CallRequest request,
      CallAuthorization.Outcome.Authorized authorized,
      BackendSelector backendSelector) {
    Route route = authorized.route();
    CallAttributes attributes = request.attributes();
    String key = attributes.conversationOrObject(route.kind() == RouteKind.STREAMING);
    String service = backendSelector.choose(route, key);
    ServiceProfile profile = authorized.configuration().service(service);
    int tokensPerEvent = profile == null ? 0 : profile.tokensPerEvent();
    long timeoutMillis = attributes.timeoutMillis(route.timeoutMillis());
    long deadlineNanos = request.receivedNanos() + timeoutMillis * 1_000_000;
    return new AuthorizedCall(
        request,
        route,
        authorized.caller(),
        authorized.limitUse(),
        service,
        tokensPerEvent,
        deadlineNanos);
  }

  CallAttributes attributes() {
    return request.attributes();
  }

  boolean stream() {
    return route.kind() == RouteKind.STREAMING;
  }

  /** The regions in which the call may run. */
  Residency residency() {
    return route.residency().and(caller.residency());
  }
}
