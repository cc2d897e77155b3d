package org.baykeel.core.message;

import java.util.List;
import org.baykeel.core.error.ErrorKind;

/** A record of a shard's log. Leader and followers apply the same records alike. */
public sealed interface LogRecord {

  /** The first record of a leader's term; once it is committed the leader's state is complete. */
  record NoOperation() implements LogRecord {}

  /** The replica group's members from this record on. */
  record Members(List<MemberId> members) implements LogRecord {
    public Members {
      members = List.copyOf(members);
    }
  }

  /** A record that concerns one program. */
  sealed interface ProgramRecord extends LogRecord {
    /** The program it concerns. */
    String programId();
  }

  /**
   * A program begins.
   *
   * @param budget limit of its cost and its children's, in cost units
   * @param turnLimit most calls it may make
   * @param parentId its parent, or empty
   */
  record ProgramCreated(
      String programId,
      String tenant,
      String programClass,
      String parentId,
      String idempotencyKey,
      long budget,
      int turnLimit,
      long createdAtMillis)
      implements ProgramRecord {}

  /**
   * An attempt is about to be sent. Committed before the back end sees anything, so a successor
   * knows of every request that may have run.
   *
   * @param callSequence number of the call in its program, from 1
   * @param attempt number of the attempt in its call, from 1
   * @param reservation most that this attempt can cost, in cost units
   * @param target model or tool
   * @param backend engine or tool service
   * @param body the new messages or the tool's request; empty from the second attempt on
   */
  record CallDispatched(
      String programId,
      int callSequence,
      int attempt,
      CallKind kind,
      boolean repeatable,
      long reservation,
      int maximumTokens,
      MemberId dispatcher,
      String idempotencyKey,
      String target,
      String backend,
      String operation,
      Payload requestDigest,
      Payload body,
      long dispatchedAtMillis)
      implements ProgramRecord {}

  /** A call has its whole answer; committed before the caller sees the answer as complete. */
  record CallCompleted(
      String programId, int callSequence, int attempt, long cost, Usage usage, Payload answer)
      implements ProgramRecord {}

  /**
   * An attempt ended without an answer.
   *
   * @param cost what is charged: zero if the back end proved that it took nothing, else all that
   *     was reserved
   * @param closesCall true if no further attempt follows
   */
  record AttemptFailed(
      String programId,
      int callSequence,
      int attempt,
      ErrorKind kind,
      long cost,
      boolean closesCall)
      implements ProgramRecord {}

  /**
   * A submission of a call was refused, or its call given up. A copy of that very submission that
   * is still on its way must not run the call after its caller was told.
   *
   * @param edge the node that holds the caller's connection
   * @param requestId the edge's number of the submission
   */
  record SubmissionRefused(String programId, MemberId edge, long requestId, ErrorKind kind)
      implements ProgramRecord {}

  /** A program has ended; the engines that served it owe the release of their cache. */
  record ProgramEnded(String programId, long endedAtMillis) implements ProgramRecord {}

  /** An engine confirmed that it holds nothing of an ended program. */
  record CacheReleased(String programId, String engine) implements ProgramRecord {}

  /** The retention of an ended program is over; its keys and outcomes are dropped. */
  record ProgramForgotten(String programId) implements ProgramRecord {}
}
