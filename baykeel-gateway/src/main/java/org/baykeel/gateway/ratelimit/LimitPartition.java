package org.baykeel.gateway.ratelimit;

import org.baykeel.gateway.scheduling.StableHash;
import org.baykeel.gateway.tenancy.TenantId;

/**
 * A subset of the tenants whose token buckets are held by the same node.
 *
 * @param number the index of the partition, from 0 to {@code COUNT - 1}
 */
public record LimitPartition(int number) {
  /**
   * The number of partitions; must be the same on all nodes. Each partition costs a write to the
   * store for each renewal of its lease, whichever node holds it. When a node dies, the tenants of
   * its partitions have no bucket until another node takes the lease over.
   */
  static final int COUNT = 16;

  public LimitPartition {
    if (number < 0 || number >= COUNT) {
      throw new IllegalArgumentException("partition number out of range: " + number);
    }
  }

  /** Returns the partition of a tenant. */
  static LimitPartition of(TenantId tenant) {
    return new LimitPartition(Math.floorMod(StableHash.of(tenant.value()), COUNT));
  }

  /** Returns the key of the partition's lease row in the store. */
  String key() {
    return "p" + number;
  }

  /** Returns whether a row key names a partition that exists in this version of the program. */
  static boolean isPartitionKey(String key) {
    if (!key.matches("p[0-9]{1,3}")) {
      return false;
    }
    return Integer.parseInt(key.substring(1)) < COUNT;
  }

  /** Returns the partition of a row key for which {@link #isPartitionKey} holds. */
  static LimitPartition ofKey(String key) {
    return new LimitPartition(Integer.parseInt(key.substring(1)));
  }

  /**
   * Implemented by hand because the generated methods of a record are linked at run time, which
   * delays each process start.
   */
  @Override
  public boolean equals(Object other) {
    return other instanceof LimitPartition partition && number == partition.number;
  }

  @Override
  public int hashCode() {
    return number;
  }
}
