package org.baykeel.node.transport;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/** Receives the answer to an {@link HttpCall}, on a network thread. */
public interface HttpCallListener {
  /** The status line and headers have come. */
  void onHead(int status, HttpHeaders headers);

  /** A part of the body has come; the buffer is released afterwards. */
  void onContent(ByteBuf content);

  /** The whole answer has come. */
  void onComplete();

  /**
   * There is no whole answer.
   *
   * @param requestSent false if it is proved that no byte of the request has left
   */
  void onFailure(boolean requestSent);
}
