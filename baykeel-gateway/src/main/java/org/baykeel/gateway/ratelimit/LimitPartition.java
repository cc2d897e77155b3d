package org.baykeel.gateway.ratelimit;

import org.baykeel.gateway.scheduling.StableHash;
import org.baykeel.gateway.tenancy.TenantId;

/**
 * A share of the tenants whose token buckets lie at one node.
 *
 * @param number counts from 0
 */
public record LimitPartition(int number) {
  /**
   * How many there are. Each costs a write to the store for each renewal of its lease, whoever
   * holds it, and each node that dies takes the tenants of its partitions with it for a moment. The
   * same at all nodes.
   */
  static final int COUNT = 16;

  public LimitPartition {
    if (number < 0 || number >= COUNT) {
      throw new IllegalArgumentException("no partition " + number);
    }
  }

  /** The partition of a tenant. */
  static LimitPartition of(TenantId tenant) {
    return new LimitPartition(Math.floorMod(StableHash.of(tenant.value()), COUNT));
  }

  /** The key of its row in the store. */
  String key() {
    return "p" + number;
  }

  /** Whether a row belongs to a partition of this version of the program. */
  static boolean isPartitionKey(String key) {
    if (!key.matches("p[0-9]{1,3}")) {
      return false;
    }
    return Integer.parseInt(key.substring(1)) < COUNT;
  }

  /** The partition of a row. */
  static LimitPartition ofKey(String key) {
    return new LimitPartition(Integer.parseInt(key.substring(1)));
  }

  /** Written out: the methods of a record are linked at run time, which costs each start. */
  @Override
  public boolean equals(Object other) {
    return other instanceof LimitPartition partition && number == partition.number;
  }

  @Override
  public int hashCode() {
    return number;
  }
}
