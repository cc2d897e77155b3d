package org.baykeel.core.program;

import org.baykeel.core.log.LogEvent;
import org.baykeel.core.message.AttemptId;
import org.baykeel.core.message.BackendAttempt;
import org.baykeel.core.message.CallerReply;
import org.baykeel.core.message.LogRecord;

/** What a shard's coordinator does to the outside. */
public interface CoordinatorOutput {
  /**
   * Proposes a record to the replica group.
   *
   * @return its index, or -1 if this node does not lead
   */
  long propose(LogRecord record);

  /** Sends a piece of an answer to the edge where the caller waits. */
  void reply(CallerOrigin origin, CallerReply reply);

  /** Starts an attempt, or takes up its stream again. */
  void startAttempt(BackendAttempt attempt);

  /** Tells the back end to stop an attempt; its memory and place in the batch become free. */
  void cancelAttempt(AttemptId id, String backend, String address);

  /** Forgets an attempt without telling the back end: another node takes it over. */
  void abandonAttempt(AttemptId id);

  /** Tells an engine to drop all that it caches of a program. */
  void releaseCache(String engine, String address, String programId);

  /** Reports an event. */
  void event(LogEvent event, Object... arguments);
}
