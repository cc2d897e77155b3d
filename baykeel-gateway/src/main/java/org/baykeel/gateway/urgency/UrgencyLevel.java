package org.baykeel.gateway.urgency;

/**
 * The urgency levels of requests, from the time left until the finish target of their program; the
 * most urgent level comes first. Each level has a few ranks of its own. Within a level, more urgent
 * kinds have smaller ranks, and no kind has a rank outside the level.
 */
public enum UrgencyLevel {
  /** The program is in progress, with little of its time left. */
  NEAR_TARGET(0, 2),
  /**
   * The program is in progress. Requests without a program that are not streams are ranked here
   * too: one response completes them, and they compete with the calls of programs in progress.
   */
  UNDER_WAY(2, 3),
  /**
   * The program starts. Streams without a program are ranked here too, since they compete with
   * programs that start.
   */
  STARTING(5, 3),
  /** The program has missed its finish target. */
  LATE(8, 1),
  /** The program has taken a multiple of the time that it had when it started. */
  OVERDUE(9, 1);

  /** The largest rank. */
  public static final int LEAST_URGENT = 9;

  private final int firstRank;
  private final int ranks;

  UrgencyLevel(int firstRank, int ranks) {
    this.firstRank = firstRank;
    this.ranks = ranks;
  }

  /**
   * Returns the rank of a request of this level.
   *
   * @param kindRank the rank of its kind, 0 being the most urgent; kinds beyond the ranks of this
   *     level share the last of them
   */
  public int rank(int kindRank) {
    return firstRank + Math.max(0, Math.min(kindRank, ranks - 1));
  }
}
