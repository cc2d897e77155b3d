package org.baykeel.core.message;

/** What the members believe of one member. A later constant overrides an earlier one. */
public enum MemberStatus {
  ALIVE,
  /** Did not answer probes; may still refute. */
  SUSPECT,
  /** Said itself that it is stopping; takes no new shards. */
  LEAVING,
  /** Did not refute a suspicion in time, or was superseded by a later incarnation. */
  DEAD;

  private static final MemberStatus[] VALUES = values();

  /** The status with the given ordinal. */
  public static MemberStatus of(int ordinal) {
    return VALUES[ordinal];
  }
}
