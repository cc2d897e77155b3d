package org.baykeel.node.http;

import org.baykeel.core.message.CallerReply;

/** Receives the pieces of the answer to one request, on the agent's thread. */
@FunctionalInterface
interface ReplySink {
  /** A piece has come; {@code Completed} and {@code Failed} are the last. */
  void onReply(CallerReply reply);
}
