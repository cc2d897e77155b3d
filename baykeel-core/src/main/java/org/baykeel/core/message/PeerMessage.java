package org.baykeel.core.message;

import java.util.List;

/** A message between two nodes. The schema in baykeel-protocol has one SBE message for each. */
public sealed interface PeerMessage {

  /** Failure detection: who asks, who answers, who asks on another's behalf. */
  enum ProbeKind {
    PING,
    ACKNOWLEDGE,
    /** Asks the receiver to ping the subject on the sender's behalf. */
    PING_REQUEST,
    /** A new member asks for the whole member list. */
    JOIN,
    /** The whole member list. */
    JOIN_REPLY;

    private static final ProbeKind[] VALUES = values();

    /** The kind with the given ordinal. */
    public static ProbeKind of(int ordinal) {
      return VALUES[ordinal];
    }
  }

  /**
   * Failure detection with gossip.
   *
   * @param subject the member that the probe is about
   * @param configurationVersion the newest configuration that the sender has in force
   * @param routesDigest digest of the sender's shard routes
   * @param replicas number of shards of which the sender holds a replica
   */
  record Probe(
      ProbeKind kind,
      long sequence,
      MemberId subject,
      long configurationVersion,
      long routesDigest,
      int replicas,
      List<MemberUpdate> updates)
      implements PeerMessage {
    public Probe {
      updates = List.copyOf(updates);
    }
  }

  /** A message of a replica group. */
  sealed interface GroupMessage extends PeerMessage {
    /** The replica group. */
    GroupId group();

    /** The sender's term. */
    long term();
  }

  /**
   * A candidate asks for a vote.
   *
   * @param preVote asks only whether a vote would be granted; changes no state
   * @param transfer the old leader asked for this election
   */
  record VoteRequest(
      GroupId group, long term, long lastIndex, long lastTerm, boolean preVote, boolean transfer)
      implements GroupMessage {}

  /** The answer to a vote request. */
  record VoteResponse(GroupId group, long term, boolean preVote, boolean granted)
      implements GroupMessage {}

  /** Entries and heartbeat of a leader. */
  record AppendRequest(
      GroupId group,
      long term,
      long previousIndex,
      long previousTerm,
      long commitIndex,
      List<LogEntry> entries)
      implements GroupMessage {
    public AppendRequest {
      entries = List.copyOf(entries);
    }
  }

  /**
   * The answer to an append request.
   *
   * @param matchIndex on success the last index known to agree with the leader, else a hint where
   *     the leader should try next
   */
  record AppendResponse(GroupId group, long term, boolean success, long matchIndex)
      implements GroupMessage {}

  /** The whole state, for a replica that is behind the leader's log. */
  record SnapshotInstall(
      GroupId group,
      long term,
      long lastIndex,
      long lastTerm,
      List<MemberId> members,
      List<LogRecord> records)
      implements GroupMessage {
    public SnapshotInstall {
      members = List.copyOf(members);
      records = List.copyOf(records);
    }
  }

  /** A leader that stops asks a follower to stand for election at once. */
  record TransferLeadership(GroupId group, long term) implements GroupMessage {}

  /** Which members lead which shards. */
  record RouteUpdate(List<ShardRoute> routes) implements PeerMessage {
    public RouteUpdate {
      routes = List.copyOf(routes);
    }
  }

  /** A caller's request on its way from the edge to the shard leader. */
  record ForwardRequest(long edgeRequestId, CallerRequest request) implements PeerMessage {}

  /** A piece of the answer on its way back. */
  record ForwardReply(long edgeRequestId, CallerReply reply) implements PeerMessage {}

  /** The caller of a forwarded request has gone. */
  record ForwardCancel(long edgeRequestId, int shard) implements PeerMessage {}

  /** An accepted configuration. */
  record ConfigurationDocument(long version, Payload document) implements PeerMessage {}

  /** What an engine says it caches, as far as it concerns one shard. */
  record CacheInventory(int shard, String engine, List<String> programIds) implements PeerMessage {
    public CacheInventory {
      programIds = List.copyOf(programIds);
    }
  }

  /** Load of engines as the sender saw it. */
  record EngineReports(List<EngineReport> reports) implements PeerMessage {
    public EngineReports {
      reports = List.copyOf(reports);
    }
  }
}
