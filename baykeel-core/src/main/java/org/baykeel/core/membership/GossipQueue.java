package org.baykeel.core.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.baykeel.core.message.MemberUpdate;

/** Statements that still have to spread; each rides on a number of probes that grows with log n. */
final class GossipQueue {
  private static final int TRANSMISSIONS_PER_DOUBLING = 3;

  private final Map<Integer, Pending> pendingByNode = new HashMap<>();

  private static final class Pending {
    final MemberUpdate update;
    int transmissions;

    Pending(MemberUpdate update) {
      this.update = update;
    }
  }

  /** Queues a statement; it replaces an earlier one about the same node. */
  void add(MemberUpdate update) {
    pendingByNode.put(update.id().nodeId(), new Pending(update));
  }

  /** The statements for one message, those sent least often first. */
  List<MemberUpdate> take(int maximum, int memberCount) {
    if (pendingByNode.isEmpty()) {
      return List.of();
    }
    int limit = TRANSMISSIONS_PER_DOUBLING * (32 - Integer.numberOfLeadingZeros(memberCount));
    List<Pending> ordered = new ArrayList<>(pendingByNode.values());
    ordered.sort(
        Comparator.comparingInt((Pending pending) -> pending.transmissions)
            .thenComparing(pending -> pending.update.id()));
    List<MemberUpdate> taken = new ArrayList<>();
    for (Pending pending : ordered.subList(0, Math.min(maximum, ordered.size()))) {
      taken.add(pending.update);
      pending.transmissions++;
      if (pending.transmissions >= limit) {
        pendingByNode.remove(pending.update.id().nodeId());
      }
    }
    return taken;
  }
}
