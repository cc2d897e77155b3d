package org.baykeel.gateway.http;

import org.baykeel.gateway.buffering.CallerFlow;
import org.baykeel.gateway.call.CallResponder;
import org.baykeel.gateway.call.Refusal;
import org.baykeel.gateway.call.ResponseHead;
import org.baykeel.gateway.telemetry.GatewayEvent;
import org.baykeel.gateway.telemetry.GatewayLog;

/**
 * Passes on at most one response to one request. A connection serves several requests in turn, so
 * whatever a call sends after the end of its response would become the response to a later request.
 */
final class OneResponse implements CallResponder {
  private final CallResponder connection;
  private final String requestId;
  private final GatewayLog log;
  private Phase phase = Phase.PENDING;

  /** The progress of the response. */
  private enum Phase {
    PENDING,
    STREAMING,
    ENDED
  }

  /**
   * Creates a responder for one request.
   *
   * @param connection responds to the request that it has read last
   * @param requestId the request, for log lines
   */
  OneResponse(CallResponder connection, String requestId, GatewayLog log) {
    this.connection = connection;
    this.requestId = requestId;
    this.log = log;
  }

  @Override
  public CallerFlow flow() {
    return connection.flow();
  }

  @Override
  public void refuse(Refusal refusal) {
    if (enter(Phase.PENDING, Phase.ENDED, "refusal")) {
      connection.refuse(refusal);
    }
  }

  @Override
  public void respond(ResponseHead head, byte[] body) {
    if (enter(Phase.PENDING, Phase.ENDED, "whole")) {
      connection.respond(head, body);
    }
  }

  @Override
  public void startStream(ResponseHead head) {
    if (enter(Phase.PENDING, Phase.STREAMING, "head")) {
      connection.startStream(head);
    }
  }

  @Override
  public void sendEvent(byte[] bytes) {
    if (enter(Phase.STREAMING, Phase.STREAMING, "event")) {
      connection.sendEvent(bytes);
    }
  }

  @Override
  public void endStream() {
    if (enter(Phase.STREAMING, Phase.ENDED, "end")) {
      connection.endStream();
    }
  }

  @Override
  public void abortStream() {
    if (phase == Phase.ENDED) {
      logDiscarded("abort");
    } else {
      abort();
    }
  }

  private void abort() {
    phase = Phase.ENDED;
    connection.abortStream();
  }

  /**
   * Changes the phase and returns whether the part of the response may be sent. A stream that is
   * followed by another response than its own is cut, so that the caller does not take it for
   * complete.
   */
  private boolean enter(Phase required, Phase next, String part) {
    if (phase == required) {
      phase = next;
      return true;
    }
    logDiscarded(part);
    if (phase == Phase.STREAMING) {
      abort();
    }
    return false;
  }

  private void logDiscarded(String part) {
    log.write(GatewayEvent.RESPONSE_DISCARDED, "id", requestId, "part", part);
  }
}
