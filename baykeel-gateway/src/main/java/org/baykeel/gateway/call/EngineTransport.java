package org.baykeel.gateway.call;

import org.baykeel.gateway.directory.Engine;

/** Sends requests to engines. All calls and callbacks happen on the event loop. */
public interface EngineTransport {

  /**
   * Sends a request.
   *
   * @return the request in progress, to cancel it or to pause reading its response
   */
  Exchange send(Engine engine, EngineRequest request, Listener listener);

  /** A request that was sent. */
  interface Exchange {
    /** Cancels the request: its connection is closed and the listener is not called any more. */
    void cancel();

    /** Pauses reading the response; bytes that were read before may still arrive. */
    void pauseReading();

    /** Resumes reading the response. */
    void resumeReading();

    /** Whether the operating system has the whole request, so that nothing of it is held here. */
    boolean isRequestWritten();

    /** The connection that carries the request; {@link ConnectionUse#NONE} until it is sent. */
    default ConnectionUse connectionUse() {
      return ConnectionUse.NONE;
    }
  }

  /**
   * Receives one response: its head, the bytes of its body, then exactly one of the two ends. A
   * failure may come without a head.
   */
  interface Listener {
    /** Status and header fields. */
    void onHead(ResponseHead head);

    /** Bytes of the body. */
    void onBody(byte[] bytes);

    /** The response is complete. */
    void onComplete();

    /** The response will not be complete. */
    void onFailure(Failure failure, String detail);
  }

  /** Why there is no complete response. */
  enum Failure {
    /** Not one byte of the request left this process. */
    NOT_SENT,
    /** The connection was lost; the engine may have run the request. */
    CONNECTION_LOST,
    /** The response is unusable; the engine may have run the request. */
    BROKEN,
    /** The engine sent more bytes than a response may have; it may have run the request. */
    TOO_LARGE
  }
}
