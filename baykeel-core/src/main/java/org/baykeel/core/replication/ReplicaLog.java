package org.baykeel.core.replication;

import java.util.ArrayList;
import java.util.List;
import org.baykeel.core.message.LogEntry;
import org.baykeel.core.message.LogRecord;
import org.baykeel.core.message.MemberId;

/**
 * The log of one replica: entries after a snapshot point. Index 0 is before the first entry.
 *
 * <p>Invariant: the entry with index i is {@code entries.get(i - snapshotIndex - 1)}.
 */
final class ReplicaLog {
  private final ArrayList<LogEntry> entries = new ArrayList<>();
  private long snapshotIndex;
  private long snapshotTerm;
  private List<MemberId> snapshotMembers;
  private List<MemberId> members;

  ReplicaLog(List<MemberId> initialMembers) {
    this.snapshotMembers = List.copyOf(initialMembers);
    this.members = snapshotMembers;
  }

  long lastIndex() {
    return snapshotIndex + entries.size();
  }

  long lastTerm() {
    return entries.isEmpty() ? snapshotTerm : entries.get(entries.size() - 1).term();
  }

  long snapshotIndex() {
    return snapshotIndex;
  }

  int size() {
    return entries.size();
  }

  /** The members in force: the latest members record, committed or not. */
  List<MemberId> members() {
    return members;
  }

  /** True if the log, or the snapshot below it, reaches the index with that term. */
  boolean matches(long index, long term) {
    return index >= snapshotIndex && index <= lastIndex() && termAt(index) == term;
  }

  /** Term of the entry; the index must not lie below the snapshot or beyond the end. */
  long termAt(long index) {
    return index == snapshotIndex ? snapshotTerm : entry(index).term();
  }

  LogEntry entry(long index) {
    return entries.get((int) (index - snapshotIndex - 1));
  }

  /** Up to a number of entries from an index on, as an immutable copy. */
  List<LogEntry> entriesFrom(long index, int maximum) {
    int from = (int) (index - snapshotIndex - 1);
    int to = Math.min(entries.size(), from + maximum);
    return from >= to ? List.of() : List.copyOf(entries.subList(from, to));
  }

  void append(LogEntry entry) {
    entries.add(entry);
    if (entry.record() instanceof LogRecord.Members change) {
      members = change.members();
    }
  }

  /** Drops the entries from an index on; they were never committed. */
  void truncateFrom(long index) {
    int from = (int) (index - snapshotIndex - 1);
    entries.subList(from, entries.size()).clear();
    members = latestMembers();
  }

  /** Drops the entries up to an index that the state machine has applied. */
  void compactTo(long index) {
    long term = termAt(index);
    int count = (int) (index - snapshotIndex);
    for (int i = 0; i < count; i++) {
      if (entries.get(i).record() instanceof LogRecord.Members change) {
        snapshotMembers = change.members();
      }
    }
    entries.subList(0, count).clear();
    snapshotIndex = index;
    snapshotTerm = term;
  }

  /** Starts again from a received snapshot. */
  void resetTo(long index, long term, List<MemberId> newMembers) {
    entries.clear();
    snapshotIndex = index;
    snapshotTerm = term;
    snapshotMembers = List.copyOf(newMembers);
    members = snapshotMembers;
  }

  long snapshotTerm() {
    return snapshotTerm;
  }

  /** Index of the latest members record, or the snapshot's index if there is none after it. */
  long latestMembersIndex() {
    for (int i = entries.size() - 1; i >= 0; i--) {
      if (entries.get(i).record() instanceof LogRecord.Members) {
        return snapshotIndex + i + 1;
      }
    }
    return snapshotIndex;
  }

  private List<MemberId> latestMembers() {
    for (int i = entries.size() - 1; i >= 0; i--) {
      if (entries.get(i).record() instanceof LogRecord.Members change) {
        return change.members();
      }
    }
    return snapshotMembers;
  }

  /** Members as of an index at or after the snapshot, for a snapshot that is sent. */
  List<MemberId> membersAt(long index) {
    List<MemberId> result = snapshotMembers;
    for (long i = snapshotIndex + 1; i <= index; i++) {
      if (entry(i).record() instanceof LogRecord.Members change) {
        result = change.members();
      }
    }
    return result;
  }
}
