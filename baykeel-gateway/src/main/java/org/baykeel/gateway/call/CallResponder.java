package org.baykeel.gateway.call;

import org.baykeel.gateway.buffering.CallerFlow;

/**
 * Sends the response to a caller. At most one of {@link #refuse}, {@link #respond} and {@link
 * #startStream} is called, and only once; none if the caller has disconnected.
 */
public interface CallResponder {

  /**
   * Counts the bytes held for the caller, and pauses the source of its response while there are too
   * many.
   */
  CallerFlow flow();

  /** Ends the request with a response that the node itself generates. */
  void refuse(Refusal refusal);

  /** Passes on a complete response. */
  void respond(ResponseHead head, byte[] body);

  /** Starts to pass on a stream. */
  void startStream(ResponseHead head);

  /** Passes on a complete event of a started stream. */
  void sendEvent(byte[] bytes);

  /** Ends a complete stream. */
  void endStream();

  /** Cuts a started stream, so that the caller does not take it for complete. */
  void abortStream();
}
