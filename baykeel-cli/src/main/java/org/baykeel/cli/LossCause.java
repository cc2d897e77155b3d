package org.baykeel.cli;

/** A part of the duration of a call, derived from the fields of its log line. */
enum LossCause {
  /** Waiting for the store to decide on the token reservation. */
  GRANT {
    @Override
    long millis(LogLine call) {
      return Math.max(0, call.number("grant_ms"));
    }
  },

  /** Loading the turns that the call continues, and storing its own turn. */
  HISTORY {
    @Override
    long millis(LogLine call) {
      return Math.max(0, call.number("history_ms")) + Math.max(0, call.number("keep_ms"));
    }
  },

  /** Waiting for the first event of the engine: queueing for a slot, batching and prefill. */
  FIRST_EVENT {
    @Override
    long millis(LogLine call) {
      long beforeSending = Math.max(0, call.number("history_ms"));
      return served(call) ? Math.max(0, call.number("first_ms") - beforeSending) : 0;
    }
  },

  /** Streaming after the first event, at the engine's token rate. */
  STREAM {
    @Override
    long millis(LogLine call) {
      long first = call.number("first_ms");
      long keep = Math.max(0, call.number("keep_ms"));
      return served(call) && first >= 0 ? Math.max(0, call.number("ms") - first - keep) : 0;
    }
  },

  /** A response that is not a stream: queueing and processing time of a tool. */
  TOOL {
    @Override
    long millis(LogLine call) {
      return served(call) && call.number("first_ms") < 0 ? Math.max(0, call.number("ms")) : 0;
    }
  },

  /** A call that was sent and failed: the response was lost, invalid, cut off or too late. */
  FAILED_CALL {
    @Override
    long millis(LogLine call) {
      boolean sent = call.number("sends") > 0;
      return !served(call) && sent ? Math.max(0, call.number("ms")) : 0;
    }

    @Override
    boolean hasBaseline() {
      return false;
    }
  },

  /** A call that was refused before it was sent, without its time of waiting for the store. */
  REFUSAL {
    @Override
    long millis(LogLine call) {
      boolean sent = call.number("sends") > 0;
      long waited = GRANT.millis(call) + HISTORY.millis(call);
      return !served(call) && !sent ? Math.max(0, call.number("ms") - waited) : 0;
    }

    @Override
    boolean hasBaseline() {
      return false;
    }
  },

  /**
   * Time between the end of a call and the program's next call: an unavailable node, or a retry.
   */
  BETWEEN_CALLS {
    @Override
    long millis(LogLine call) {
      return 0;
    }
  };

  private static final int FIRST_FAILURE_STATUS = 300;

  /** Returns the time of a call that is due to this cause, in milliseconds. */
  abstract long millis(LogLine call);

  /**
   * Returns whether calls of programs that end in time also spend time on this, so that only the
   * excess over the baseline counts as a loss.
   */
  boolean hasBaseline() {
    return true;
  }

  private static boolean served(LogLine call) {
    long status = call.number("status");
    return status > 0 && status < FIRST_FAILURE_STATUS;
  }
}
