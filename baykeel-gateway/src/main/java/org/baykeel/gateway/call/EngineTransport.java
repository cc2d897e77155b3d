package org.baykeel.gateway.call;

import org.baykeel.gateway.directory.Engine;

/** Sends requests to engines. All calls and answers happen on the event loop. */
public interface EngineTransport {

  /**
   * Sends a request.
   *
   * @return a handle that cancels it
   */
  Exchange send(Engine engine, EngineRequest request, Listener listener);

  /** A request that was sent. */
  interface Exchange {
    /** Gives it up: its connection is closed and the listener hears nothing more. */
    void cancel();

    /** Reads no more of the answer; bytes that were read before may still come. */
    void pauseReading();

    /** Reads the answer on. */
    void resumeReading();
  }

  /** Hears of one answer; after a head come its bytes, then exactly one of the ends. */
  interface Listener {
    /** Status and header fields. */
    void onHead(ResponseHead head);

    /** Bytes of the body. */
    void onBody(byte[] bytes);

    /** The answer is whole. */
    void onComplete();

    /** The answer will not be whole. */
    void onFailure(Failure failure, String detail);
  }

  /** Why there is no whole answer. */
  enum Failure {
    /** Not one byte of the request left this process. */
    NOT_SENT,
    /** The engine may have run the request. */
    BROKEN
  }
}
