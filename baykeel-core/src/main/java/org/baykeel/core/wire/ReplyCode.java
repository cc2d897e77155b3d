package org.baykeel.core.wire;

import org.baykeel.core.message.CallerReply;

/** The kinds of reply as numbers on the wire; the order must not change. */
enum ReplyCode {
  CHUNK,
  COMPLETED,
  FAILED,
  NOT_LEADER,
  ACCEPTED;

  private static final ReplyCode[] VALUES = values();

  static ReplyCode of(int ordinal) {
    return VALUES[ordinal];
  }

  static ReplyCode of(CallerReply reply) {
    if (reply instanceof CallerReply.Chunk) {
      return CHUNK;
    }
    if (reply instanceof CallerReply.Completed) {
      return COMPLETED;
    }
    if (reply instanceof CallerReply.Failed) {
      return FAILED;
    }
    return reply instanceof CallerReply.NotLeader ? NOT_LEADER : ACCEPTED;
  }
}
