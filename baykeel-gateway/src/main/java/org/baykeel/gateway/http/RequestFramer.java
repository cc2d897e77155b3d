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

  private final RequestBytesLimiter.Request memory;
  private final int receiveBufferBytes;
  private boolean paused;

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
    memory.holdHead(bytes + (long) FIELD_BYTES * complete.fields());
  }

  @Override
  boolean waitsBetweenMessages() {
    return true;
  }

  @Override
  void onPending(int bytes) {
    if (isWaiting() && bytes > MAX_WAITING_BYTES) {
      pause(true);
    }
    memory.holdUnread(bytes + (paused ? receiveBufferBytes : 0));
  }

  private void pause(boolean pause) {
    if (paused != pause) {
      paused = pause;
      context().channel().config().setAutoRead(!pause);
    }
  }

  /** Begins to read the next request, after the response to the one before. */
  void next() {
    pause(false);
    memory.holdUnread(pendingBytes());
    readNext();
  }
}
