package org.baykeel.gateway.urgency;

/**
 * How a request's program stands against its time, the most urgent first. Each standing has a few
 * ranks of its own, in which the more urgent kinds go first; no kind leaves its standing's ranks.
 */
public enum UrgencyLevel {
  /** Under way, with little of its time left. */
  NEAR_TARGET(0, 2),
  /**
   * Under way. Requests without a program that are no streams are ranked here too: they are whole
   * with one answer and compete with what programs under way call.
   */
  UNDER_WAY(2, 3),
  /** Beginning. Streams without a program are ranked here too: they compete with beginnings. */
  STARTING(5, 3),
  /** Its time has passed. */
  LATE(8, 1),
  /** Its time has passed long ago. */
  OVERDUE(9, 1);

  /** The largest rank that there is. */
  public static final int LEAST_URGENT = 9;

  private final int firstRank;
  private final int ranks;

  UrgencyLevel(int firstRank, int ranks) {
    this.firstRank = firstRank;
    this.ranks = ranks;
  }

  /**
   * The rank of a request of this standing.
   *
   * @param kindRank the rank of its kind, 0 being the most urgent; kinds beyond the ranks of this
   *     standing share the last of them
   */
  public int rank(int kindRank) {
    return firstRank + Math.max(0, Math.min(kindRank, ranks - 1));
  }
}
