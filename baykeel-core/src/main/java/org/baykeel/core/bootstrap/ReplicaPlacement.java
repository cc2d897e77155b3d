package org.baykeel.core.bootstrap;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.baykeel.core.message.MemberId;
import org.baykeel.core.message.MemberUpdate;
import org.baykeel.core.scheduling.RendezvousHash;

/**
 * Chooses the members of replica groups: spread over zones first, then by rendezvous hash, so that
 * each node carries about the same number of replicas.
 */
public final class ReplicaPlacement {
  private ReplicaPlacement() {}

  /** The members of a new group. */
  public static List<MemberId> choose(
      int shard, int replicas, Collection<MemberUpdate> candidates) {
    List<MemberId> chosen = new ArrayList<>();
    Map<String, Integer> perZone = new HashMap<>();
    while (chosen.size() < replicas) {
      MemberUpdate next = best(shard, candidates, chosen, perZone);
      if (next == null) {
        break;
      }
      chosen.add(next.id());
      perZone.merge(next.address().zone(), 1, Integer::sum);
    }
    return chosen;
  }

  /**
   * One more member for a group.
   *
   * @param present the members that stay
   * @return the new member, or null if nobody is left
   */
  public static MemberUpdate chooseAddition(
      int shard, Collection<MemberUpdate> candidates, Collection<MemberUpdate> present) {
    Map<String, Integer> perZone = new HashMap<>();
    List<MemberId> taken = new ArrayList<>();
    for (MemberUpdate member : present) {
      taken.add(member.id());
      perZone.merge(member.address().zone(), 1, Integer::sum);
    }
    return best(shard, candidates, taken, perZone);
  }

  private static MemberUpdate best(
      int shard,
      Collection<MemberUpdate> candidates,
      Collection<MemberId> taken,
      Map<String, Integer> perZone) {
    String key = Integer.toString(shard);
    Comparator<MemberUpdate> byZone =
        Comparator.comparingInt(item -> perZone.getOrDefault(item.address().zone(), 0));
    Comparator<MemberUpdate> byHash =
        Comparator.comparingLong(
            item -> -RendezvousHash.score(key, Integer.toString(item.id().nodeId())));
    return candidates.stream()
        .filter(item -> !taken.contains(item.id()))
        .min(byZone.thenComparing(byHash))
        .orElse(null);
  }
}
