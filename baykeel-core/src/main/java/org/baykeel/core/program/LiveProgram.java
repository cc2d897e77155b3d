package org.baykeel.core.program;

import java.util.ArrayDeque;
import java.util.Deque;

/** The requests of one program on the shard leader, in the order in which they run. */
final class LiveProgram {
  final String programId;
  final Deque<LiveCall> queue = new ArrayDeque<>();

  /** The request at work, or null. */
  LiveCall active;

  LiveProgram(String programId) {
    this.programId = programId;
  }

  boolean isIdle() {
    return active == null && queue.isEmpty();
  }

  /** The request with an idempotency key, at work or queued, or null. */
  LiveCall byKey(String key) {
    if (active != null && active.request.idempotencyKey().equals(key)) {
      return active;
    }
    for (LiveCall call : queue) {
      if (call.request.idempotencyKey().equals(key)) {
        return call;
      }
    }
    return null;
  }
}
