package org.baykeel.core.message;

import org.baykeel.core.error.ErrorKind;

/** A piece of the answer to a caller's request. */
public sealed interface CallerReply {

  /**
   * Generated text.
   *
   * @param offset position in the answer's UTF-8 bytes, so that repeated pieces can be dropped
   */
  record Chunk(int offset, Payload text) implements CallerReply {}

  /**
   * The whole answer.
   *
   * @param answer the generated text, the tool's response or a description of the program
   * @param cost in cost units
   */
  record Completed(Payload answer, Usage usage, long cost) implements CallerReply {}

  /**
   * The final refusal or failure.
   *
   * @param retryAfterMillis when to come back; zero if the kind gives no delay
   */
  record Failed(ErrorKind kind, String detail, int retryAfterMillis) implements CallerReply {}

  /** Between nodes only: the leader has the request and works on it. */
  record Accepted() implements CallerReply {}

  /** Between nodes only: the receiver does not lead the shard. */
  record NotLeader() implements CallerReply {}
}
