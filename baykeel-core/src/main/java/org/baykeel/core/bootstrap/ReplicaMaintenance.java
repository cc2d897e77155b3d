package org.baykeel.core.bootstrap;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.baykeel.core.log.LogEvent;
import org.baykeel.core.membership.Membership;
import org.baykeel.core.message.MemberId;
import org.baykeel.core.message.MemberStatus;
import org.baykeel.core.message.MemberUpdate;
import org.baykeel.core.replication.ReplicaGroup;

/**
 * Keeps the groups that this node leads complete: replaces members that are gone, one change at a
 * time. The replacement first gets all records without a vote; then the lost member is removed and
 * the replacement gets its vote. In this order the quorum never rises above what the members that
 * remain can give: five and four members need three, six would need four.
 */
public final class ReplicaMaintenance {
  /** Reports what maintenance does. */
  public interface Events {
    /** Reports an event. */
    void event(LogEvent event, Object... arguments);
  }

  private final BootstrapSettings settings;
  private final Membership membership;
  private final Events events;
  private final Map<MemberId, Long> missingSince = new HashMap<>();
  private long changesSeen = -1;
  private int expectedNodes;

  public ReplicaMaintenance(BootstrapSettings settings, Membership membership, Events events) {
    this.settings = requireNonNull(settings, "settings");
    this.membership = requireNonNull(membership, "membership");
    this.events = requireNonNull(events, "events");
  }

  /** Looks after one group that this node leads. */
  public void maintain(ReplicaGroup group, long nowMillis) {
    if (!group.canChangeMembers()) {
      return;
    }
    dropLostLearners(group);
    List<MemberId> lost = lostMembers(group, nowMillis);
    int size = group.members().size();
    int present = size - lost.size();
    int wanted = Math.min(settings.replicas(), expectedNodes());
    MemberId learner = group.caughtUpLearner();
    if (learner != null && (size < wanted || lost.isEmpty())) {
      group.promoteLearner(learner);
    } else if (learner != null) {
      removeOne(group, lost);
    } else if (size > wanted && !lost.isEmpty() && present >= Math.max(wanted, leastMembers())) {
      removeOne(group, lost);
    } else if (present + group.learners().size() < wanted) {
      addOne(group, lost, nowMillis);
    }
  }

  /**
   * Nodes that are there or may come back. A dead member is removed only after another has taken
   * its place: fewer members would not make a smaller quorum safe, and the member may only be cut
   * off.
   */
  private int expectedNodes() {
    if (membership.changes() != changesSeen) {
      changesSeen = membership.changes();
      expectedNodes = 0;
      for (MemberUpdate member : membership.members()) {
        expectedNodes += member.status() == MemberStatus.LEAVING ? 0 : 1;
      }
    }
    return expectedNodes;
  }

  /**
   * When a member leaves for good and none takes its place, a group may shrink, but never so far
   * that a quorum has fewer copies: four members have the same quorum as five.
   */
  private int leastMembers() {
    int quorum = settings.replicas() / 2 + 1;
    return Math.max(1, 2 * (quorum - 1));
  }

  private void dropLostLearners(ReplicaGroup group) {
    for (MemberId learner : group.learners()) {
      if (!membership.isRunning(learner)) {
        group.dropLearner(learner);
      }
    }
  }

  private List<MemberId> lostMembers(ReplicaGroup group, long nowMillis) {
    List<MemberId> lost = new ArrayList<>();
    for (MemberId member : group.members()) {
      if (isLost(member, nowMillis)) {
        lost.add(member);
      }
    }
    return lost;
  }

  private boolean isLost(MemberId member, long nowMillis) {
    if (membership.isSuperseded(member)) {
      return true;
    }
    MemberUpdate update = membership.member(member.nodeId());
    boolean leaving = update != null && update.status() == MemberStatus.LEAVING;
    if (leaving) {
      return true;
    }
    if (membership.isRunning(member)) {
      missingSince.remove(member);
      return false;
    }
    long since = missingSince.computeIfAbsent(member, id -> nowMillis);
    return nowMillis - since >= settings.replaceAfterMillis();
  }

  private void removeOne(ReplicaGroup group, List<MemberId> lost) {
    for (MemberId member : lost) {
      if (group.removeMember(member)) {
        events.event(LogEvent.REPLICA_REMOVED, group.group(), member);
        return;
      }
    }
  }

  private void addOne(ReplicaGroup group, List<MemberId> lost, long nowMillis) {
    List<MemberUpdate> staying = new ArrayList<>();
    for (MemberId member : group.members()) {
      MemberUpdate update = membership.member(member.nodeId());
      if (!lost.contains(member) && update != null) {
        staying.add(update);
      }
    }
    MemberUpdate addition =
        ReplicaPlacement.chooseAddition(group.group().shard(), membership.activeMembers(), staying);
    if (addition != null && !group.members().contains(addition.id())) {
      group.addLearner(addition.id(), nowMillis);
      events.event(LogEvent.REPLICA_ADDED, group.group(), addition.id());
    }
  }
}
