package org.baykeel.core.node;

import static java.util.Objects.requireNonNull;

import java.util.List;
import org.baykeel.core.bootstrap.BootstrapSettings;
import org.baykeel.core.edge.EdgeSettings;
import org.baykeel.core.membership.Membership.Seed;
import org.baykeel.core.membership.MembershipSettings;
import org.baykeel.core.program.CoordinatorSettings;
import org.baykeel.core.replication.ReplicationSettings;

/** All checked settings of a node's logic. */
public record NodeSettings(
    List<Seed> seeds,
    MembershipSettings membership,
    ReplicationSettings replication,
    BootstrapSettings bootstrap,
    CoordinatorSettings coordinator,
    EdgeSettings edge,
    SchedulingSettings scheduling) {
  public NodeSettings {
    seeds = List.copyOf(seeds);
    requireNonNull(membership, "membership");
    requireNonNull(replication, "replication");
    requireNonNull(bootstrap, "bootstrap");
    requireNonNull(coordinator, "coordinator");
    requireNonNull(edge, "edge");
    requireNonNull(scheduling, "scheduling");
  }
}
