package org.baykeel.core.replication;

import org.baykeel.core.message.LogRecord;
import org.baykeel.core.message.MemberId;
import org.baykeel.core.message.PeerMessage;

/** What a replica group does to the outside. */
public interface ReplicationOutput {
  /** Sends a message to another member of the group. */
  void send(MemberId to, PeerMessage message);

  /** This replica became the leader; its state is complete once its first record is committed. */
  void becameLeader(ReplicaGroup group);

  /** The leader's first record of its term is committed: it may serve. */
  void leaderReady(ReplicaGroup group);

  /** This replica stopped being the leader. */
  void lostLeadership(ReplicaGroup group);

  /** A record was committed and applied. */
  void applied(ReplicaGroup group, long index, LogRecord record);
}
