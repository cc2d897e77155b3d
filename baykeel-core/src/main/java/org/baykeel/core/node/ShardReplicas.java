package org.baykeel.core.node;

import static java.util.Objects.requireNonNull;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.baykeel.core.bootstrap.ShardAssignment;
import org.baykeel.core.configuration.ConfigurationImage;
import org.baykeel.core.log.LogEvent;
import org.baykeel.core.message.AttemptId;
import org.baykeel.core.message.BackendAttempt;
import org.baykeel.core.message.CallerReply;
import org.baykeel.core.message.GroupId;
import org.baykeel.core.message.LogRecord;
import org.baykeel.core.message.MemberId;
import org.baykeel.core.message.PeerMessage;
import org.baykeel.core.message.PeerMessage.AppendResponse;
import org.baykeel.core.message.PeerMessage.ForwardReply;
import org.baykeel.core.message.PeerMessage.GroupMessage;
import org.baykeel.core.message.PeerMessage.RouteUpdate;
import org.baykeel.core.message.PeerMessage.VoteResponse;
import org.baykeel.core.message.ShardRoute;
import org.baykeel.core.program.CallerOrigin;
import org.baykeel.core.program.CoordinatorContext;
import org.baykeel.core.program.CoordinatorOutput;
import org.baykeel.core.program.ProgramShard;
import org.baykeel.core.program.ShardCoordinator;
import org.baykeel.core.replication.ReplicaGroup;
import org.baykeel.core.replication.ReplicationOutput;
import org.baykeel.core.retry.RetryBudget;
import org.baykeel.core.routing.ProgramIds;
import org.baykeel.core.scheduling.CallScheduler;
import org.baykeel.core.scheduling.EngineDirectory;

/** The replicas that this node holds, each with its state and its coordinator. */
final class ShardReplicas {
  private static final double RETRIES_PER_ATTEMPT = 0.2;

  private final MemberId self;
  private final NodeSettings settings;
  private final NodeOutput output;
  private final NodeLinks links;
  private final Supplier<ConfigurationImage> configuration;
  private final EngineDirectory engines;
  private final CallScheduler scheduler;
  private final SplittableRandom random;
  private final RetryBudget retryBudget = new RetryBudget(RETRIES_PER_ATTEMPT);
  private final Map<Integer, ShardReplica> replicas = new TreeMap<>();

  ShardReplicas(
      MemberId self,
      NodeSettings settings,
      NodeOutput output,
      NodeLinks links,
      Supplier<ConfigurationImage> configuration,
      EngineDirectory engines,
      CallScheduler scheduler,
      SplittableRandom random) {
    this.self = requireNonNull(self, "self");
    this.settings = requireNonNull(settings, "settings");
    this.output = requireNonNull(output, "output");
    this.links = requireNonNull(links, "links");
    this.configuration = requireNonNull(configuration, "configuration");
    this.engines = requireNonNull(engines, "engines");
    this.scheduler = requireNonNull(scheduler, "scheduler");
    this.random = requireNonNull(random, "random");
  }

  /** The replica of a shard, or null. */
  ShardReplica get(int shard) {
    return replicas.get(shard);
  }

  /** All replicas, by shard; a copy, since handling one may create another. */
  Collection<ShardReplica> all() {
    return List.copyOf(replicas.values());
  }

  /** The shards of which there is a replica. */
  Set<Integer> shards() {
    return Set.copyOf(replicas.keySet());
  }

  /** Number of replicas. */
  int count() {
    return replicas.size();
  }

  /** The coordinator of a program's shard, or null. */
  ShardCoordinator coordinatorOf(String programId) {
    int shard = ProgramIds.shardOf(programId, settings.bootstrap().shardCount());
    ShardReplica replica = replicas.get(shard);
    return replica == null ? null : replica.coordinator();
  }

  /** Creates the replicas that an assignment gives to this very incarnation. */
  void adopt(ShardAssignment assignment) {
    output.event(LogEvent.SHARDS_ASSIGNED, assignment.shards().size(), assignment.generation());
    for (int shard = 0; shard < assignment.shards().size(); shard++) {
      List<MemberId> members = assignment.shards().get(shard);
      GroupId group = new GroupId(shard, assignment.generation());
      if (members.contains(self) && !holds(group)) {
        createReplica(group, members);
      }
    }
  }

  private boolean holds(GroupId group) {
    ShardReplica present = replicas.get(group.shard());
    return present != null && present.group().group().generation() >= group.generation();
  }

  private ShardReplica createReplica(GroupId group, List<MemberId> members) {
    ShardReplica old = replicas.get(group.shard());
    if (old != null) {
      old.coordinator().leadershipLost();
    }
    ProgramShard shard = new ProgramShard();
    ShardAdapter adapter = new ShardAdapter(group);
    ReplicaGroup replicaGroup =
        new ReplicaGroup(
            group,
            self,
            members,
            settings.replication(),
            shard,
            adapter,
            random.split(),
            links.now());
    ShardCoordinator coordinator =
        new ShardCoordinator(
            new CoordinatorContext(
                group,
                self,
                shard,
                settings.coordinator(),
                settings.replication().electionMillis() / 2,
                configuration,
                engines,
                scheduler,
                retryBudget,
                adapter));
    ShardReplica replica = new ShardReplica(replicaGroup, shard, coordinator);
    replicas.put(group.shard(), replica);
    return replica;
  }

  /** Handles a message of a replica group. */
  void onMessage(MemberId from, GroupMessage message) {
    GroupId group = message.group();
    ShardReplica replica = replicas.get(group.shard());
    boolean unknown = replica == null || replica.group().group().generation() < group.generation();
    if (unknown) {
      boolean answer = message instanceof VoteResponse || message instanceof AppendResponse;
      if (answer) {
        return;
      }
      // The sender counts this very incarnation as a member or learner.
      replica = createReplica(group, List.of());
    }
    if (replica.group().group().equals(group)) {
      replica.group().onMessage(from, message, links.now());
    }
  }

  /** Connects one shard's group and coordinator with the node. */
  private final class ShardAdapter implements ReplicationOutput, CoordinatorOutput {
    private final GroupId group;

    ShardAdapter(GroupId group) {
      this.group = group;
    }

    private ShardReplica replica() {
      return replicas.get(group.shard());
    }

    @Override
    public void send(MemberId to, PeerMessage message) {
      links.send(to, message);
    }

    @Override
    public void becameLeader(ReplicaGroup leader) {
      output.event(LogEvent.LEADER_ELECTED, group.shard(), leader.term());
    }

    @Override
    public void leaderReady(ReplicaGroup leader) {
      ShardRoute route = new ShardRoute(group, leader.term(), self);
      links.updateRoute(route);
      links.sendToOthers(new RouteUpdate(List.of(route)));
      replica().coordinator().leaderReady(links.now());
    }

    @Override
    public void lostLeadership(ReplicaGroup former) {
      output.event(LogEvent.LEADERSHIP_LOST, group.shard(), former.term());
      replica().coordinator().leadershipLost();
    }

    @Override
    public void applied(ReplicaGroup applier, long index, LogRecord record) {
      if (applier.role() == ReplicaGroup.Role.LEADER) {
        replica().coordinator().onApplied(index, record, links.now());
      }
    }

    @Override
    public long propose(LogRecord record) {
      return replica().group().propose(record);
    }

    @Override
    public void reply(CallerOrigin origin, CallerReply reply) {
      send(origin.edge(), new ForwardReply(origin.requestId(), reply));
    }

    @Override
    public void startAttempt(BackendAttempt attempt) {
      output.startAttempt(attempt);
    }

    @Override
    public void cancelAttempt(AttemptId id, String backend, String address) {
      output.cancelAttempt(id, backend, address);
    }

    @Override
    public void abandonAttempt(AttemptId id) {
      output.abandonAttempt(id);
    }

    @Override
    public void releaseCache(String engine, String address, String programId) {
      output.releaseCache(engine, address, programId);
    }

    @Override
    public void event(LogEvent event, Object... arguments) {
      output.event(event, arguments);
    }
  }
}
