package org.baykeel.core.message;

import static java.util.Objects.requireNonNull;

/** Which member leads a shard, as of a term. */
public record ShardRoute(GroupId group, long term, MemberId leader) {
  public ShardRoute {
    requireNonNull(group, "group");
    requireNonNull(leader, "leader");
  }

  /** True if this route is newer than the other one; generations and terms only rise. */
  public boolean isNewerThan(ShardRoute other) {
    if (group.generation() != other.group.generation()) {
      return group.generation() > other.group.generation();
    }
    return term > other.term;
  }
}
