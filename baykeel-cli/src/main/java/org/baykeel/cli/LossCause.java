package org.baykeel.cli;

/** Where a call's time went, as far as its log line tells. */
enum LossCause {
  /** The store's decision on its tokens. */
  GRANT {
    @Override
    long millis(LogLine call) {
      return Math.max(0, call.number("grant_ms"));
    }
  },

  /** The turns that it continues, and the store's word that its own turn is kept. */
  HISTORY {
    @Override
    long millis(LogLine call) {
      return Math.max(0, call.number("history_ms")) + Math.max(0, call.number("keep_ms"));
    }
  },

  /** Its engine's first event: places, batches and reading. */
  FIRST_EVENT {
    @Override
    long millis(LogLine call) {
      long beforeSending = Math.max(0, call.number("history_ms"));
      return served(call) ? Math.max(0, call.number("first_ms") - beforeSending) : 0;
    }
  },

  /** Its engine's pace after the first event. */
  STREAM {
    @Override
    long millis(LogLine call) {
      long first = call.number("first_ms");
      long keep = Math.max(0, call.number("keep_ms"));
      return served(call) && first >= 0 ? Math.max(0, call.number("ms") - first - keep) : 0;
    }
  },

  /** An answer that is not a stream: a tool's work and its queue. */
  TOOL {
    @Override
    long millis(LogLine call) {
      return served(call) && call.number("first_ms") < 0 ? Math.max(0, call.number("ms")) : 0;
    }
  },

  /** A call that was sent and failed: a lost, spoiled or broken answer, or no answer in time. */
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

  /** A call that was refused before it was sent, beyond what it waited for the store. */
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

  /** Time between a call's end and the program's next one: a node that was gone, or a retry. */
  BETWEEN_CALLS {
    @Override
    long millis(LogLine call) {
      return 0;
    }
  };

  private static final int FIRST_FAILURE_STATUS = 300;

  /** The part of one call's time that this cause explains, in milliseconds. */
  abstract long millis(LogLine call);

  /** Whether calls of programs in time have a share of this, so that only the excess is a loss. */
  boolean hasBaseline() {
    return true;
  }

  private static boolean served(LogLine call) {
    long status = call.number("status");
    return status > 0 && status < FIRST_FAILURE_STATUS;
  }
}
