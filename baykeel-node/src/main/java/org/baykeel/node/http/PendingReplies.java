package org.baykeel.node.http;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.baykeel.core.message.CallerReply;

/** Which connection waits for which request. */
public final class PendingReplies {
  private final AtomicLong nextRequestId = new AtomicLong(1);
  private final Map<Long, ReplySink> sinks = new ConcurrentHashMap<>();

  long register(ReplySink sink) {
    long requestId = nextRequestId.getAndIncrement();
    sinks.put(requestId, sink);
    return requestId;
  }

  void remove(long requestId) {
    sinks.remove(requestId);
  }

  /** Gives a piece of an answer to the connection that waits for it. */
  public void deliver(long requestId, CallerReply reply) {
    boolean last = !(reply instanceof CallerReply.Chunk);
    ReplySink sink = last ? sinks.remove(requestId) : sinks.get(requestId);
    if (sink != null) {
      sink.onReply(reply);
    }
  }
}
