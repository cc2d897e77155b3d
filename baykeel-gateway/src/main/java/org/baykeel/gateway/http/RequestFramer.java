package org.baykeel.gateway.http;

import org.baykeel.gateway.buffering.RequestBytesLimiter;

/**
 * Frames requests, one at a time: the requests that a caller sends behind one in progress are kept
 * undecoded. What is held for the caller is counted before it is decoded.
 */
final class RequestFramer extends MessageFramer {
  /** The memory of one decoded field beyond its bytes, in this node and in the engine's request. */
  private static final int FIELD_BYTES = 256;

  /** Reading is paused while more bytes than this wait behind a request in progress. */
  private static final int MAX_WAITING_BYTES = 1 << 14;

  /** A head that takes more memory has very many fields, and takes long to decode. */
  private static final int MAX_USUAL_HEAD_BYTES = 64 << 10;

  private final RequestBytesLimiter.Request memory;
  private final int receiveBufferBytes;
  private boolean paused;
  private boolean headUsual = true;

  /**
   * Creates a framer.
   *
   * @param memory counts what is held for the caller
   * @param receiveBufferBytes what the operating system may hold of a connection that is not read
   */
  RequestFramer(int maxHeadBytes, RequestBytesLimiter.Request memory, int receiveBufferBytes) {
    super(MessageHead.Kind.REQUEST, maxHeadBytes);
    this.memory = memory;
    this.receiveBufferBytes = receiveBufferBytes;
  }

  @Override
  void onHead(MessageHead complete, int bytes) {
    long cost = bytes + (long) FIELD_BYTES * complete.fields();
    headUsual = cost <= MAX_USUAL_HEAD_BYTES;
    memory.holdHead(cost);
  }

  /**
   * Whether the head that was read last takes no more memory than usual heads. The connection is
   * not kept after another one, so that a caller can't send many of them on one connection.
   */
  boolean isHeadUsual() {
    return headUsual;
  }

  @Override
  boolean waitsBetweenMessages() {
    return true;
  }

  @Override
  void onPending(int bytes) {
    pause(isWaiting() && bytes > MAX_WAITING_BYTES);
    memory.holdUnread(bytes + (paused ? receiveBufferBytes : 0));
  }

  private void pause(boolean pause) {
    if (paused != pause) {
      paused = pause;
      context().channel().config().setAutoRead(!pause);
    }
  }

  /**
   * Begins to read the next request, after the response to the one before. A request that was
   * received already has to wait for other work of the event loop, so that callers that send many
   * behind one another do not hold up all others.
   */
  void next() {
    if (pendingBytes() > 0) {
      context().executor().execute(this::readNext);
    } else {
      readNext();
    }
  }
}
