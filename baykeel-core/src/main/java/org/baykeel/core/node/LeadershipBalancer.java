package org.baykeel.core.node;

import static java.util.Objects.requireNonNull;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.baykeel.core.membership.Membership;
import org.baykeel.core.message.MemberId;
import org.baykeel.core.message.MemberStatus;
import org.baykeel.core.message.MemberUpdate;
import org.baykeel.core.replication.ReplicaGroup;
import org.baykeel.core.routing.ShardRoutes;

/** Spreads leadership evenly, and hands all of it over before a planned stop. */
final class LeadershipBalancer {
  private static final int BALANCE_MILLIS = 5_000;

  private final MemberId self;
  private final int shardCount;
  private final Membership membership;
  private final ShardRoutes routes;
  private final ShardReplicas replicas;
  private final SplittableRandom random;
  private long nextBalanceMillis;

  LeadershipBalancer(
      MemberId self,
      int shardCount,
      Membership membership,
      ShardRoutes routes,
      ShardReplicas replicas,
      SplittableRandom random) {
    this.self = requireNonNull(self, "self");
    this.shardCount = shardCount;
    this.membership = requireNonNull(membership, "membership");
    this.routes = requireNonNull(routes, "routes");
    this.replicas = requireNonNull(replicas, "replicas");
    this.random = requireNonNull(random, "random");
  }

  /** Gives one shard away if this node leads more than its share. */
  void balance(long now) {
    if (now < nextBalanceMillis) {
      return;
    }
    nextBalanceMillis = now + BALANCE_MILLIS + random.nextInt(BALANCE_MILLIS);
    Map<MemberId, Integer> led = new HashMap<>();
    routes.all().forEach(route -> led.merge(route.leader(), 1, Integer::sum));
    int active = Math.max(1, membership.activeMembers().size());
    int share = (shardCount + active - 1) / active;
    if (led.getOrDefault(self, 0) <= share) {
      return;
    }
    for (ShardReplica replica : replicas.all()) {
      Set<MemberId> lighter = lighterMembers(replica.group(), led, share);
      if (replica.group().isReadyLeader() && !lighter.isEmpty()) {
        replica.group().transferLeadership(lighter, now);
        return;
      }
    }
  }

  private Set<MemberId> lighterMembers(ReplicaGroup group, Map<MemberId, Integer> led, int share) {
    Set<MemberId> lighter = new HashSet<>();
    for (MemberId member : group.members()) {
      MemberUpdate update = membership.member(member.nodeId());
      boolean alive =
          update != null && update.id().equals(member) && update.status() == MemberStatus.ALIVE;
      if (alive && !member.equals(self) && led.getOrDefault(member, 0) < share) {
        lighter.add(member);
      }
    }
    return lighter;
  }

  /** Gives every shard away that has nothing under way. */
  void handOver(long now) {
    for (ShardReplica replica : replicas.all()) {
      ReplicaGroup group = replica.group();
      if (!group.isReadyLeader()) {
        continue;
      }
      replica.coordinator().drain();
      if (!replica.coordinator().hasDispatchedCalls()) {
        Set<MemberId> others = lighterMembers(group, Map.of(), Integer.MAX_VALUE);
        group.transferLeadership(others, now);
      }
    }
  }

  /** True if this node leads nothing and no group needs its replica any more. */
  boolean isDispensable() {
    return replicas.all().stream().allMatch(replica -> isDispensable(replica.group()));
  }

  /**
   * A stop is a loss of a copy. It waits while any other member of the group is gone, so that the
   * stop and the next failure together are never more than two losses.
   */
  private boolean isDispensable(ReplicaGroup group) {
    boolean alone = group.members().equals(List.of(self));
    if (alone || !group.isMember()) {
      return true;
    }
    if (group.role() == ReplicaGroup.Role.LEADER) {
      return false;
    }
    for (MemberId member : group.members()) {
      if (!member.equals(self) && !stays(member)) {
        return false;
      }
    }
    return true;
  }

  /** Of two members that both want to leave, the one with the lower number goes first. */
  private boolean stays(MemberId member) {
    MemberUpdate update = membership.member(member.nodeId());
    if (update == null || !update.id().equals(member)) {
      return false;
    }
    boolean leavesLater =
        update.status() == MemberStatus.LEAVING && member.nodeId() > self.nodeId();
    return update.status() == MemberStatus.ALIVE || leavesLater;
  }
}
