package org.baykeel.gateway.call;

import org.baykeel.gateway.configuration.Route;
import org.baykeel.gateway.configuration.RouteKind;
import org.baykeel.gateway.configuration.ServiceProfile;
import org.baykeel.gateway.residency.Residency;
import org.baykeel.gateway.scheduling.BackendSelector;
import org.baykeel.gateway.tenancy.Caller;
import org.baykeel.gateway.tenancy.LimitUse;

/**
 * A request that was admitted, and what is decided about it before an engine is chosen.
 *
 * @param request the caller's request
 * @param route how it is served
 * @param caller on whose behalf it runs
 * @param limitUse what its tenant asked for lately
 * @param service the service that runs it
 * @param tokensPerEvent tokens of one event of a stream of that service
 * @param deadlineNanos when its caller no longer waits, by the event loop's clock
 */
record AuthorizedCall(
    CallRequest request,
    Route route,
    Caller caller,
    LimitUse limitUse,
    String service,
    int tokensPerEvent,
    long deadlineNanos) {

  /** Chooses the service for a request that was admitted. */
  static AuthorizedCall of(
      CallRequest request,
      CallAuthorization.Outcome.Authorized authorized,
      BackendSelector backendChooser) {
    Route route = authorized.route();
    CallAttributes attributes = request.attributes();
    String conversation = attributes.conversationOrObject(route.kind() == RouteKind.STREAMING);
    String service = backendChooser.choose(route, conversation);
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

  /** Where it may run. */
  Residency residency() {
    return route.residency().and(caller.residency());
  }
}
