package org.baykeel.core.replication;

/**
 * Times and sizes of a replica group.
 *
 * @param heartbeatMillis a leader with nothing to send sends a heartbeat this often
 * @param electionMillis a follower that hears nothing for this long, plus a random part as long
 *     again, stands for election; a leader that hears no quorum for this long steps down
 * @param maximumEntriesPerAppend most entries in one message
 * @param maximumLogEntries a longer log is compacted into a snapshot
 */
public record ReplicationSettings(
    int heartbeatMillis, int electionMillis, int maximumEntriesPerAppend, int maximumLogEntries) {
  /** The settings used unless the operator sets others. */
  public static final ReplicationSettings DEFAULT = new ReplicationSettings(250, 1_500, 64, 1_024);

  public ReplicationSettings {
    if (heartbeatMillis <= 0 || electionMillis <= 2 * heartbeatMillis) {
      throw new IllegalArgumentException("electionMillis must exceed two heartbeats");
    }
    if (maximumEntriesPerAppend <= 0 || maximumLogEntries <= 0) {
      throw new IllegalArgumentException("sizes must be positive");
    }
  }
}
