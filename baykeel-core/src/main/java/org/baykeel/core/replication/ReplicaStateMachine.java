package org.baykeel.core.replication;

import java.util.List;
import org.baykeel.core.message.LogRecord;

/** What a replica group replicates: applied alike on leader and followers. */
public interface ReplicaStateMachine {
  /** Applies a committed record. Must depend on nothing but earlier records. */
  void apply(LogRecord record);

  /** Records that rebuild the present state when applied to an empty state machine. */
  List<LogRecord> snapshot();

  /** Drops all state; the records of a snapshot follow. */
  void reset();
}
