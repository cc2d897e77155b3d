package org.baykeel.core.program;

import static java.util.Objects.requireNonNull;

import org.baykeel.core.error.Execution;
import org.baykeel.core.message.LogRecord.AttemptFailed;
import org.baykeel.core.message.LogRecord.CallCompleted;
import org.baykeel.core.message.LogRecord.CallDispatched;
import org.baykeel.core.message.Payload;

/** One call of a program, from its first dispatch on. */
public final class CallState {
  private final CallDispatched first;
  private CallDispatched latest;
  private CallCompleted completion;
  private AttemptFailed closure;
  private long charged;
  private long reserved;
  private boolean attemptOpen = true;
  private boolean mayHaveRun;

  CallState(CallDispatched first) {
    this.first = requireNonNull(first, "first");
    this.latest = first;
    this.reserved = first.reservation();
  }

  void dispatchAgain(CallDispatched next) {
    latest = next;
    reserved += next.reservation();
    attemptOpen = true;
  }

  void complete(CallCompleted record) {
    completion = record;
    charged += record.cost();
    reserved -= latest.reservation();
    attemptOpen = false;
  }

  void failAttempt(AttemptFailed record) {
    mayHaveRun |= record.kind().execution() != Execution.NOT_RUN;
    if (attemptOpen) {
      charged += record.cost();
      reserved -= latest.reservation();
      attemptOpen = false;
    }
    if (record.closesCall()) {
      closure = record;
    }
  }

  /** The record of the first attempt, which carries the request's body. */
  public CallDispatched first() {
    return first;
  }

  /** The record of the latest attempt. */
  public CallDispatched latest() {
    return latest;
  }

  /** The whole answer, or null. */
  public CallCompleted completion() {
    return completion;
  }

  /** The final failure, or null. */
  public AttemptFailed closure() {
    return closure;
  }

  /** True while an attempt is dispatched and neither answered nor failed. */
  public boolean hasOpenAttempt() {
    return !isClosed() && attemptOpen;
  }

  /** True once no further attempt follows. */
  public boolean isClosed() {
    return completion != null || closure != null;
  }

  /** True if any attempt that has ended may have run at its back end. */
  public boolean mayHaveRun() {
    return mayHaveRun;
  }

  /** What the call has cost so far, in cost units. */
  public long charged() {
    return charged;
  }

  /** What its open attempt may still cost, in cost units. */
  public long reserved() {
    return reserved;
  }

  /** Digest of the request, to tell a retry from another request under the same key. */
  public Payload requestDigest() {
    return first.requestDigest();
  }
}
