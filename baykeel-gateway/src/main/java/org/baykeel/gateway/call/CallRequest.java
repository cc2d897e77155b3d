package org.baykeel.gateway.call;

import io.netty.handler.codec.http.HttpHeaders;
import org.baykeel.gateway.configuration.Route;
import org.baykeel.gateway.configuration.RouteKind;
import org.baykeel.gateway.tenancy.Caller;
import org.baykeel.gateway.urgency.RankedRequest;

/**
 * A caller's request, completely read.
 *
 * @param method the HTTP method
 * @param target path and query as received
 * @param host the authority
 * @param headers all header fields as received
 * @param body the body without its framing
 * @param attributes the attributes parsed from the header fields
 * @param receivedNanos when its last byte was read
 */
@SuppressWarnings("ArrayRecordComponent")
public record CallRequest(
    String method,
    String target,
    String host,
    HttpHeaders headers,
    byte[] body,
    CallAttributes attributes,
    long receivedNanos) {

  /** The path without the query. */
  public String path() {
    int query = target.indexOf('?');
    return query < 0 ? target : target.substring(0, query);
  }

  /**
   * Returns the attributes of the request that its urgency depends on.
   *
   * @param route its route
   * @param caller on whose behalf it runs
   */
  RankedRequest ranked(Route route, Caller caller, long nowNanos) {
    boolean stream = route.kind() == RouteKind.STREAMING;
    return new RankedRequest(
        attributes.requestId(),
        route.name(),
        caller.priority(route.priority()),
        stream,
        caller.scoped(attributes.programId()),
        stream && attributes.firstConversation() && attributes.previousTurn() == null,
        programRemainingMillis(nowNanos));
  }

  private long programRemainingMillis(long nowNanos) {
    return attributes.finishMillis() == CallAttributes.ABSENT
        ? RankedRequest.ABSENT
        : Math.max(0, attributes.finishMillis() - (nowNanos - receivedNanos) / 1_000_000);
  }
}
