package org.baykeel.gateway.call;

import org.baykeel.gateway.buffering.CallerFlow;

/** The way back to a caller. Exactly one of refuse, answer, or begin is called, once. */
public interface CallResponder {

  /** Counts what is held for the caller, and holds its answer's source back if that is much. */
  CallerFlow flow();

  /** Ends the request with an answer of baykeel's own. */
  void refuse(Refusal refusal);

  /** Passes on a whole answer. */
  void respond(ResponseHead head, byte[] body);

  /** Begins to pass on a stream. */
  void startStream(ResponseHead head);

  /** Passes on a whole event of a stream that has begun. */
  void sendEvent(byte[] bytes);

  /** Ends a stream that is complete. */
  void endStream();

  /** Cuts a stream that has begun, so that it does not look complete. */
  void abortStream();
}
