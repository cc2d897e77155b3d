package org.baykeel.core.bootstrap;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;
import org.baykeel.core.membership.Membership;
import org.baykeel.core.message.MemberId;
import org.baykeel.core.message.MemberStatus;
import org.baykeel.core.message.MemberUpdate;
import org.baykeel.core.platform.Platform;
import org.baykeel.core.platform.TableResult;

/**
 * Creates the replica groups exactly once, by a conditional write to the table service: two halves
 * of a divided installation can never both create them.
 *
 * <p>After a loss of all nodes the groups are created anew under the next generation. That needs
 * proof that no quorum of an older generation can still act: every member of it that is not
 * superseded by a later incarnation of its node must be known and hold no replica.
 */
public final class ShardBootstrap {
  /** The row that holds the assignment. */
  public static final String ROW_KEY = "shards";

  /** Tells which of the running members hold replicas. */
  public interface ReplicaCensus {
    /** The running members that are known to hold no replica of any group. */
    Collection<MemberId> membersWithoutReplicas();
  }

  private final BootstrapSettings settings;
  private final Membership membership;
  private final Platform platform;
  private final ReplicaCensus census;
  private final Consumer<ShardAssignment> adoption;
  private ShardAssignment assignment;
  private long changesSeen = -1;
  private long unchangedSinceMillis;
  private long nextPollMillis;
  private boolean busy;

  public ShardBootstrap(
      BootstrapSettings settings,
      Membership membership,
      Platform platform,
      ReplicaCensus census,
      Consumer<ShardAssignment> adoption) {
    this.settings = requireNonNull(settings, "settings");
    this.membership = requireNonNull(membership, "membership");
    this.platform = requireNonNull(platform, "platform");
    this.census = requireNonNull(census, "census");
    this.adoption = requireNonNull(adoption, "adoption");
  }

  /** The assignment, or null while none is known. */
  public ShardAssignment assignment() {
    return assignment;
  }

  /**
   * Lets time pass.
   *
   * @param served true while the leaders of all shards are known, so there is nothing to create
   */
  public void tick(boolean served, long nowMillis) {
    noteMembers(nowMillis);
    if (busy || nowMillis < nextPollMillis || served && assignment != null) {
      return;
    }
    nextPollMillis = nowMillis + settings.pollMillis();
    busy = true;
    platform.readRow(ROW_KEY, result -> onRead(result, nowMillis));
  }

  private void noteMembers(long nowMillis) {
    if (membership.changes() != changesSeen) {
      changesSeen = membership.changes();
      unchangedSinceMillis = nowMillis;
    }
  }

  private void onRead(TableResult result, long nowMillis) {
    busy = false;
    if (result.status() == TableResult.Status.FOUND) {
      ShardAssignment found = ShardAssignment.decode(result.value());
      adopt(found);
      if (isColdStart(found, nowMillis)) {
        write(found.generation() + 1, result.version());
      }
    } else if (result.status() == TableResult.Status.ABSENT && mayCreate(nowMillis)) {
      write(1, 0);
    }
  }

  private void adopt(ShardAssignment found) {
    if (assignment == null || found.generation() > assignment.generation()) {
      assignment = found;
      adoption.accept(found);
    }
  }

  private boolean mayCreate(long nowMillis) {
    List<MemberUpdate> active = membership.activeMembers();
    boolean first = !active.isEmpty() && active.get(0).id().equals(membership.self().id());
    boolean settled = nowMillis - unchangedSinceMillis >= settings.settleMillis();
    return first && settled && active.size() >= settings.expectedNodes();
  }

  /** True if nobody who could belong to a quorum of the found generation is left. */
  private boolean isColdStart(ShardAssignment found, long nowMillis) {
    if (!mayCreate(nowMillis)) {
      return false;
    }
    Collection<MemberId> without = census.membersWithoutReplicas();
    for (MemberUpdate member : membership.members()) {
      if (member.status() == MemberStatus.DEAD || !without.contains(member.id())) {
        return false;
      }
    }
    for (List<MemberId> members : found.shards()) {
      for (MemberId member : members) {
        if (!membership.isSuperseded(member) && !without.contains(member)) {
          return false;
        }
      }
    }
    return !found.shards().stream().flatMap(List::stream).anyMatch(without::contains);
  }

  private void write(int generation, long expectedVersion) {
    List<List<MemberId>> shards = new ArrayList<>();
    for (int shard = 0; shard < settings.shardCount(); shard++) {
      shards.add(ReplicaPlacement.choose(shard, settings.replicas(), membership.activeMembers()));
    }
    ShardAssignment created = new ShardAssignment(generation, shards);
    busy = true;
    platform.writeRow(
        ROW_KEY,
        expectedVersion,
        created.encode(),
        result -> {
          busy = false;
          if (result.status() == TableResult.Status.WRITTEN) {
            adopt(created);
          }
        });
  }
}
