package org.baykeel.core.error;

import static org.baykeel.core.error.Execution.NOT_RUN;
import static org.baykeel.core.error.Execution.RAN;
import static org.baykeel.core.error.Execution.UNKNOWN;

/**
 * The closed list of errors a caller or an operator can receive. The table from kind to answer is
 * this enum; docs/ERRORS.md is checked against it by a test.
 */
public enum ErrorKind {
  INVALID_REQUEST(1, 400, NOT_RUN, RetryAdvice.NEVER, "The request is malformed."),
  UNKNOWN_PROGRAM(2, 404, NOT_RUN, RetryAdvice.NEVER, "No such program for this tenant."),
  PROGRAM_ENDED(3, 409, NOT_RUN, RetryAdvice.NEVER, "The program has ended."),
  KEY_REUSED(4, 422, NOT_RUN, RetryAdvice.NEVER, "The idempotency key belongs to another body."),
  BUDGET_EXCEEDED(5, 402, NOT_RUN, RetryAdvice.NEVER, "The call could pass the budget."),
  TURN_LIMIT(6, 409, NOT_RUN, RetryAdvice.NEVER, "The program has used all its turns."),
  UNKNOWN_TARGET(7, 404, NOT_RUN, RetryAdvice.NEVER, "No such model, tool or operation."),
  TOO_LARGE(8, 413, NOT_RUN, RetryAdvice.NEVER, "The request passes a size limit."),
  OVERLOADED(9, 503, NOT_RUN, RetryAdvice.AFTER_DELAY, "The queue is full."),
  DEADLINE_PASSED(10, 504, NOT_RUN, RetryAdvice.SAME_KEY, "The deadline passed in the queue."),
  NO_BACKEND(11, 503, NOT_RUN, RetryAdvice.AFTER_DELAY, "No back end takes work for the target."),
  NOT_READY(12, 503, NOT_RUN, RetryAdvice.AFTER_DELAY, "No leader is known for the program."),
  BACKEND_FAILED(13, 502, RAN, RetryAdvice.SAME_KEY, "The attempts allowed have failed."),
  OUTCOME_UNKNOWN(14, 502, UNKNOWN, RetryAdvice.NEVER, "Sent once; its outcome is not known."),
  STREAM_INTERRUPTED(15, 502, RAN, RetryAdvice.SAME_KEY, "The stream broke; ask again by key."),
  CANCELLED(16, 499, RAN, RetryAdvice.NEVER, "The caller went away and the call was stopped."),
  PLAN_CONFLICT(17, 409, NOT_RUN, RetryAdvice.NEVER, "The base version is no longer in force."),
  STORE_UNAVAILABLE(18, 503, UNKNOWN, RetryAdvice.SAME_KEY, "The table service did not answer."),
  INVALID_DECLARATION(19, 400, NOT_RUN, RetryAdvice.NEVER, "The declarations are not valid."),
  STOPPING(20, 503, NOT_RUN, RetryAdvice.AFTER_DELAY, "This node is stopping."),
  UNKNOWN_RESOURCE(21, 404, NOT_RUN, RetryAdvice.NEVER, "No such path."),
  INTERNAL(22, 500, UNKNOWN, RetryAdvice.SAME_KEY, "A fault of baykeel itself."),
  LEADER_UNREACHABLE(23, 503, UNKNOWN, RetryAdvice.SAME_KEY, "No leader answered in time."),
  UNAUTHORIZED(24, 401, NOT_RUN, RetryAdvice.NEVER, "The API key belongs to no tenant."),
  TOO_MANY_PROGRAMS(25, 429, NOT_RUN, RetryAdvice.AFTER_DELAY, "The tenant's limit is reached."),
  RETRY_REFUSED(26, 409, RAN, RetryAdvice.NEVER, "It ran, failed, and may not be tried again."),
  RATE_LIMITED(27, 429, NOT_RUN, RetryAdvice.AFTER_DELAY, "The tenant's rate limit is reached."),
  RESIDENCY(28, 503, NOT_RUN, RetryAdvice.AFTER_DELAY, "No back end in an allowed region."),
  STREAM_NOT_RESUMABLE(29, 503, NOT_RUN, RetryAdvice.NEVER, "The stream must start anew."),
  REQUEST_QUARANTINED(30, 400, NOT_RUN, RetryAdvice.NEVER, "Engines ended when they ran it."),
  ENGINES_ENDED(31, 400, RAN, RetryAdvice.NEVER, "Engines ended while they ran it."),
  REQUEST_HELD(32, 503, NOT_RUN, RetryAdvice.AFTER_DELAY, "Engines may still end under it."),
  RESPONSE_TOO_LARGE(33, 502, RAN, RetryAdvice.NEVER, "The response passes a size limit.");

  /** What a caller should do with the same request. */
  public enum RetryAdvice {
    /** Repeating the request does not help. */
    NEVER,
    /** Repeat with the same idempotency key to receive or resume the outcome. */
    SAME_KEY,
    /** Repeat after the time in Retry-After. */
    AFTER_DELAY
  }

  private static final ErrorKind[] BY_CODE = new ErrorKind[64];

  static {
    for (ErrorKind kind : values()) {
      BY_CODE[kind.code] = kind;
    }
  }

  private final int code;
  private final int httpStatus;
  private final Execution execution;
  private final RetryAdvice retryAdvice;
  private final String summary;

  ErrorKind(
      int code, int httpStatus, Execution execution, RetryAdvice retryAdvice, String summary) {
    this.code = code;
    this.httpStatus = httpStatus;
    this.execution = execution;
    this.retryAdvice = retryAdvice;
    this.summary = summary;
  }

  /** The number used between nodes; never reused for another kind. */
  public int code() {
    return code;
  }

  /** The HTTP status of the answer. */
  public int httpStatus() {
    return httpStatus;
  }

  /** Whether the request ran. */
  public Execution execution() {
    return execution;
  }

  /** What the caller should do next. */
  public RetryAdvice retryAdvice() {
    return retryAdvice;
  }

  /** One sentence for people. */
  public String summary() {
    return summary;
  }

  /**
   * The kind with the given code.
   *
   * @throws IllegalArgumentException if no kind has it
   */
  public static ErrorKind ofCode(int code) {
    if (code <= 0 || code >= BY_CODE.length || BY_CODE[code] == null) {
      throw new IllegalArgumentException("no error kind has code " + code);
    }
    return BY_CODE[code];
  }
}
