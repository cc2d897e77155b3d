package org.baykeel.core.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.baykeel.core.membership.Membership.Seed;
import org.baykeel.core.message.MemberId;
import org.baykeel.core.message.MemberStatus;
import org.baykeel.core.message.MemberUpdate;
import org.baykeel.core.message.NodeAddress;
import org.baykeel.core.message.PeerMessage;
import org.junit.jupiter.api.Test;

/** Members find each other, notice a silent one, and a member that lives refutes. */
class TestMembership {
  private final List<Member> members = new ArrayList<>();
  private final Set<Integer> silent = new HashSet<>();
  private final List<Runnable> network = new ArrayList<>();
  private long now = 1_000;

  private final class Member implements MembershipOutput {
    final int index;
    Membership membership;

    Member(int index, long incarnation) {
      this.index = index;
      NodeAddress address = new NodeAddress("h" + index, 1, 2, "z", "r");
      this.membership =
          new Membership(
              new MemberId(index, incarnation),
              address,
              List.of(new Seed("h0", 1), new Seed("h1", 1)),
              MembershipSettings.DEFAULT,
              this,
              new SplittableRandom(index),
              now);
    }

    @Override
    public void send(MemberId to, PeerMessage message) {
      deliver(to.nodeId(), message);
    }

    @Override
    public void sendToAddress(String host, int port, PeerMessage message) {
      deliver(Integer.parseInt(host.substring(1)), message);
    }

    private void deliver(int target, PeerMessage message) {
      MemberId from = membership.self().id();
      network.add(
          () -> {
            if (!silent.contains(index) && !silent.contains(target)) {
              members.get(target).membership.onProbe(from, (PeerMessage.Probe) message, now);
            }
          });
    }

    @Override
    public void memberChanged(MemberUpdate previous, MemberUpdate present) {}

    @Override
    public long configurationVersion() {
      return 0;
    }

    @Override
    public long routesDigest() {
      return 0;
    }

    @Override
    public int replicas() {
      return 0;
    }
  }

  private void start(int count) {
    for (int i = 0; i < count; i++) {
      members.add(new Member(i, 1));
    }
    run(10_000);
  }

  private void run(long millis) {
    long end = now + millis;
    while (now < end) {
      now += 10;
      for (Member member : members) {
        if (!silent.contains(member.index)) {
          member.membership.tick(now);
        }
      }
      List<Runnable> batch = new ArrayList<>(network);
      network.clear();
      batch.forEach(Runnable::run);
    }
  }

  private MemberStatus statusOf(int observer, int subject) {
    return members.get(observer).membership.member(subject).status();
  }

  @Test
  void allFindEachOtherThroughTheSeeds() {
    start(8);
    members.forEach(member -> assertEquals(8, member.membership.activeMembers().size()));
  }

  @Test
  void silentMemberIsBelievedDeadByAll() {
    start(8);
    silent.add(5);
    run(15_000);
    for (int i = 0; i < 8; i++) {
      if (i != 5) {
        assertEquals(MemberStatus.DEAD, statusOf(i, 5));
      }
    }
  }

  @Test
  void memberThatWakesRefutesAndIsBelievedAgain() {
    start(8);
    silent.add(5);
    run(15_000);
    silent.remove(5);
    run(30_000);
    for (int i = 0; i < 8; i++) {
      assertEquals(MemberStatus.ALIVE, statusOf(i, 5));
      assertEquals(MemberStatus.ALIVE, statusOf(5, i));
    }
  }

  @Test
  void laterIncarnationSupersedesTheEarlierOne() {
    start(4);
    members.set(2, new Member(2, 9));
    run(15_000);
    Membership other = members.get(0).membership;
    assertTrue(other.isSuperseded(new MemberId(2, 1)));
    assertFalse(other.isRunning(new MemberId(2, 1)));
    assertTrue(other.isRunning(new MemberId(2, 9)));
  }

  @Test
  void leavingMemberIsNotActive() {
    start(4);
    members.get(3).membership.leave();
    run(5_000);
    assertEquals(MemberStatus.LEAVING, statusOf(0, 3));
    assertEquals(3, members.get(0).membership.activeMembers().size());
  }
}
