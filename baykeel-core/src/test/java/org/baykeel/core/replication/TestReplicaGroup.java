package org.baykeel.core.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.baykeel.core.message.GroupId;
import org.baykeel.core.message.LogRecord;
import org.baykeel.core.message.MemberId;
import org.baykeel.core.message.PeerMessage;
import org.baykeel.core.message.PeerMessage.GroupMessage;
import org.junit.jupiter.api.Test;

/** Election, commit, fencing and change of members, on a network in one list. */
class TestReplicaGroup {
  private static final GroupId GROUP = new GroupId(0, 1);
  private static final ReplicationSettings SETTINGS = new ReplicationSettings(100, 500, 16, 32);

  private record Envelope(MemberId from, MemberId to, GroupMessage message) {}

  private final Map<MemberId, Replica> replicas = new LinkedHashMap<>();
  private final Deque<Envelope> network = new ArrayDeque<>();
  private final Set<MemberId> down = new HashSet<>();
  private long now = 1_000;

  /** A replica whose state is the list of ended programs that it has applied. */
  private final class Replica implements ReplicaStateMachine, ReplicationOutput {
    final MemberId id;
    final ReplicaGroup group;
    final List<String> applied = new ArrayList<>();

    Replica(MemberId id, List<MemberId> members) {
      this.id = id;
      this.group =
          new ReplicaGroup(
              GROUP, id, members, SETTINGS, this, this, new SplittableRandom(id.nodeId()), now);
    }

    @Override
    public void apply(LogRecord record) {
      if (record instanceof LogRecord.ProgramEnded ended) {
        applied.add(ended.programId());
      }
    }

    @Override
    public List<LogRecord> snapshot() {
      List<LogRecord> records = new ArrayList<>();
      applied.forEach(item -> records.add(new LogRecord.ProgramEnded(item, 0)));
      return records;
    }

    @Override
    public void reset() {
      applied.clear();
    }

    @Override
    public void send(MemberId to, PeerMessage message) {
      network.add(new Envelope(id, to, (GroupMessage) message));
    }

    @Override
    public void becameLeader(ReplicaGroup leader) {}

    @Override
    public void leaderReady(ReplicaGroup leader) {}

    @Override
    public void lostLeadership(ReplicaGroup former) {}

    @Override
    public void applied(ReplicaGroup applier, long index, LogRecord record) {}
  }

  private void start(int count) {
    List<MemberId> members = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      members.add(new MemberId(i, 1));
    }
    members.forEach(id -> replicas.put(id, new Replica(id, members)));
  }

  private void run(long millis) {
    long end = now + millis;
    while (now < end) {
      now += 10;
      for (Replica replica : List.copyOf(replicas.values())) {
        if (!down.contains(replica.id)) {
          replica.group.tick(now);
          replica.group.flush(now);
        }
      }
      deliver();
    }
  }

  private void deliver() {
    while (!network.isEmpty()) {
      Envelope next = network.poll();
      Replica target = replicas.get(next.to());
      boolean lost = target == null || down.contains(next.to()) || down.contains(next.from());
      if (!lost) {
        target.group.onMessage(next.from(), next.message(), now);
      }
    }
  }

  private Replica leader() {
    Replica found = null;
    for (Replica replica : replicas.values()) {
      boolean newer = found == null || replica.group.term() > found.group.term();
      if (!down.contains(replica.id) && replica.group.isReadyLeader() && newer) {
        found = replica;
      }
    }
    return found;
  }

  private void propose(Replica replica, String what) {
    replica.group.propose(new LogRecord.ProgramEnded(what, 0));
  }

  @Test
  void committedRecordReachesAllReplicas() {
    start(5);
    run(3_000);
    propose(leader(), "a");
    run(500);
    replicas.values().forEach(replica -> assertEquals(List.of("a"), replica.applied));
  }

  @Test
  void anyTwoOfFiveMayBeLostAtOnce() {
    for (int first = 0; first < 5; first++) {
      for (int second = first + 1; second < 5; second++) {
        replicas.clear();
        down.clear();
        start(5);
        run(3_000);
        propose(leader(), "a");
        leader().group.flush(now);
        deliver();
        down.add(new MemberId(first, 1));
        down.add(new MemberId(second, 1));
        run(5_000);
        assertEquals(List.of("a"), leader().applied, first + " and " + second + " lost");
      }
    }
  }

  @Test
  void pausedLeaderThatWakesCommitsNothing() {
    start(5);
    run(3_000);
    Replica old = leader();
    down.add(old.id);
    run(5_000);
    Replica successor = leader();
    propose(successor, "new");
    run(200);
    down.remove(old.id);
    propose(old, "stale");
    old.group.flush(now);
    deliver();
    run(3_000);
    replicas.values().forEach(item -> assertEquals(List.of("new"), item.applied));
    assertFalse(old.applied.contains("stale"));
  }

  @Test
  void twoOfFiveCommitNothing() {
    start(5);
    run(3_000);
    Replica leader = leader();
    replicas.keySet().stream().filter(id -> !id.equals(leader.id)).limit(3).forEach(down::add);
    propose(leader, "lonely");
    run(5_000);
    assertTrue(replicas.values().stream().allMatch(item -> item.applied.isEmpty()));
  }

  @Test
  void restartedNodeJoinsAsANewMemberAndTheOldOneIsRemoved() {
    start(3);
    run(3_000);
    propose(leader(), "a");
    run(300);
    MemberId old =
        replicas.keySet().stream().filter(id -> !id.equals(leader().id)).findFirst().orElseThrow();
    replicas.remove(old);
    MemberId fresh = new MemberId(old.nodeId(), 2);
    replicas.put(fresh, new Replica(fresh, List.of()));
    leader().group.addLearner(fresh, now);
    run(1_000);
    assertEquals(fresh, leader().group.caughtUpLearner());
    assertTrue(leader().group.removeMember(old));
    assertFalse(leader().group.promoteLearner(fresh), "one change at a time");
    run(1_000);
    assertTrue(leader().group.promoteLearner(fresh));
    run(1_000);
    assertTrue(leader().group.members().contains(fresh));
    assertEquals(3, leader().group.members().size());
    assertEquals(List.of("a"), replicas.get(fresh).applied);
  }

  @Test
  void laggingReplicaCatchesUpFromASnapshot() {
    start(3);
    run(3_000);
    Replica leader = leader();
    MemberId late =
        replicas.keySet().stream().filter(id -> !id.equals(leader.id)).findFirst().orElseThrow();
    down.add(late);
    for (int i = 0; i < 200; i++) {
      propose(leader, "r" + i);
      run(10);
    }
    down.remove(late);
    run(4_000);
    assertEquals(leader().applied, replicas.get(late).applied);
    assertEquals(200, replicas.get(late).applied.size());
  }

  @Test
  void leadershipIsHandedOverWithoutATimeout() {
    start(3);
    run(3_000);
    Replica old = leader();
    Set<MemberId> others = new HashSet<>(replicas.keySet());
    others.remove(old.id);
    old.group.transferLeadership(others, now);
    run(100);
    assertFalse(leader().id.equals(old.id));
  }
}
