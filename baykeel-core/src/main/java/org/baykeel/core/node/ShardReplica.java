package org.baykeel.core.node;

import org.baykeel.core.program.ProgramShard;
import org.baykeel.core.program.ShardCoordinator;
import org.baykeel.core.replication.ReplicaGroup;

/**
 * What a node holds of one shard.
 *
 * @param group the replica
 * @param shard the replicated state
 * @param coordinator the leader's side, idle on a follower
 */
record ShardReplica(ReplicaGroup group, ProgramShard shard, ShardCoordinator coordinator) {}
