package org.baykeel.core.replication;

/** What a leader knows of one follower or learner. Times are in milliseconds. */
final class FollowerProgress {
  /** The next entry to send. */
  long nextIndex;

  /** The last entry known to agree with the leader's log. */
  long matchIndex;

  /** When the follower last answered. */
  long lastHeardMillis;

  /** When the leader last sent it anything. */
  long lastSentMillis;

  /** A snapshot is under way; nothing else is sent until it is answered or repeated. */
  boolean snapshotPending;

  FollowerProgress(long nextIndex, long nowMillis) {
    this.nextIndex = nextIndex;
    this.lastHeardMillis = nowMillis;
    this.lastSentMillis = Long.MIN_VALUE / 2;
  }
}
