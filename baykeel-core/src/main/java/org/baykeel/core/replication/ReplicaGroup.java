package org.baykeel.core.replication;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.baykeel.core.message.GroupId;
import org.baykeel.core.message.LogEntry;
import org.baykeel.core.message.LogRecord;
import org.baykeel.core.message.MemberId;
import org.baykeel.core.message.PeerMessage;
import org.baykeel.core.message.PeerMessage.AppendRequest;
import org.baykeel.core.message.PeerMessage.AppendResponse;
import org.baykeel.core.message.PeerMessage.GroupMessage;
import org.baykeel.core.message.PeerMessage.SnapshotInstall;
import org.baykeel.core.message.PeerMessage.TransferLeadership;
import org.baykeel.core.message.PeerMessage.VoteRequest;
import org.baykeel.core.message.PeerMessage.VoteResponse;

/**
 * One replica of one shard: leader election, log replication and change of members by majority.
 *
 * <p>Replicas keep nothing on disk. That is sound because a voter is an incarnation of a node, not
 * the node: a restarted node is another member that joins as a learner, so nobody votes or counts
 * as a copy after forgetting what it promised. With five members every committed record stands on
 * three, so any two losses at once leave a copy and a quorum.
 *
 * <p>Members change one at a time, so that any two successive quorums overlap.
 */
public final class ReplicaGroup {
  /** What the replica does at present. */
  public enum Role {
    FOLLOWER,
    CANDIDATE,
    LEADER
  }

  private final GroupId group;
  private final MemberId self;
  private final ReplicationSettings settings;
  private final ReplicaStateMachine stateMachine;
  private final ReplicationOutput output;
  private final SplittableRandom random;
  private final ReplicaLog log;
  private final Map<MemberId, FollowerProgress> progress = new TreeMap<>();
  private final Set<MemberId> learners = new HashSet<>();
  private final Set<MemberId> votes = new HashSet<>();

  private Role role = Role.FOLLOWER;
  private long term;
  private MemberId votedFor = MemberId.NONE;
  private MemberId leader = MemberId.NONE;
  private long commitIndex;
  private long termStartIndex;
  private boolean ready;
  private boolean campaigning;
  private boolean appendPending;
  private long electionDeadlineMillis;
  private long lastLeaderContactMillis = Long.MIN_VALUE / 2;
  private MemberId transferTarget = MemberId.NONE;
  private long transferDeadlineMillis;

  /**
   * A replica that knows nothing yet.
   *
   * @param initialMembers the members that the group was created with, or an empty list for a
   *     replica that joins by invitation of the leader
   */
  public ReplicaGroup(
      GroupId group,
      MemberId self,
      List<MemberId> initialMembers,
      ReplicationSettings settings,
      ReplicaStateMachine stateMachine,
      ReplicationOutput output,
      SplittableRandom random,
      long nowMillis) {
    this.group = requireNonNull(group, "group");
    this.self = requireNonNull(self, "self");
    this.settings = requireNonNull(settings, "settings");
    this.stateMachine = requireNonNull(stateMachine, "stateMachine");
    this.output = requireNonNull(output, "output");
    this.random = requireNonNull(random, "random");
    this.log = new ReplicaLog(initialMembers);
    resetElectionDeadline(nowMillis);
  }

  /** The group's id. */
  public GroupId group() {
    return group;
  }

  /** The present term. */
  public long term() {
    return term;
  }

  /** The present role. */
  public Role role() {
    return role;
  }

  /** True if this replica leads and has committed a record in its own term. */
  public boolean isReadyLeader() {
    return role == Role.LEADER && ready;
  }

  /** The leader of the present term, or {@link MemberId#NONE}. */
  public MemberId leader() {
    return leader;
  }

  /** The members in force. */
  public List<MemberId> members() {
    return log.members();
  }

  /** The index up to which the log is committed and applied. */
  public long commitIndex() {
    return commitIndex;
  }

  /** The index of the last entry. */
  public long lastIndex() {
    return log.lastIndex();
  }

  /** True if this replica is a voter. */
  public boolean isMember() {
    return log.members().contains(self);
  }

  /**
   * Appends a record if this replica leads. The record counts only once it is applied.
   *
   * @return the record's index, or -1 if this replica does not lead
   */
  public long propose(LogRecord record) {
    if (role != Role.LEADER || transferTarget != MemberId.NONE) {
      return -1;
    }
    log.append(new LogEntry(term, record));
    appendPending = true;
    return log.lastIndex();
  }

  /** Sends what was proposed since the last flush. Called at the end of each duty cycle. */
  public void flush(long nowMillis) {
    if (!appendPending || role != Role.LEADER) {
      return;
    }
    appendPending = false;
    replicateToAll(nowMillis, false);
    advanceCommit(nowMillis);
  }

  /** Lets time pass. */
  public void tick(long nowMillis) {
    if (role == Role.LEADER) {
      tickLeader(nowMillis);
    } else if (isMember() && nowMillis >= electionDeadlineMillis) {
      startPreVote(nowMillis);
    }
  }

  /** Handles a message of this group. */
  public void onMessage(MemberId from, GroupMessage message, long nowMillis) {
    if (message.term() > term && raisesTerm(message)) {
      stepDown(message.term(), nowMillis);
    }
    if (message instanceof VoteRequest request) {
      onVoteRequest(from, request, nowMillis);
    } else if (message instanceof VoteResponse response) {
      onVoteResponse(from, response, nowMillis);
    } else if (message instanceof AppendRequest request) {
      onAppendRequest(from, request, nowMillis);
    } else if (message instanceof AppendResponse response) {
      onAppendResponse(from, response, nowMillis);
    } else if (message instanceof SnapshotInstall snapshot) {
      onSnapshot(from, snapshot, nowMillis);
    } else if (message instanceof TransferLeadership transfer) {
      onTransfer(transfer, nowMillis);
    }
  }

  /** A pre-vote, or the promise of one, speaks of a term that nobody has entered yet. */
  private static boolean raisesTerm(GroupMessage message) {
    if (message instanceof VoteRequest request) {
      return !request.preVote();
    }
    if (message instanceof VoteResponse response) {
      return !response.preVote() || !response.granted();
    }
    return true;
  }

  // ---- change of members ----

  /** Starts to bring a new member up to date, without a vote. */
  public void addLearner(MemberId member, long nowMillis) {
    if (role != Role.LEADER || log.members().contains(member) || !learners.add(member)) {
      return;
    }
    progress.put(member, new FollowerProgress(log.lastIndex() + 1, nowMillis));
    replicateTo(member, nowMillis, true);
  }

  /** Gives up on a learner. */
  public void dropLearner(MemberId member) {
    if (learners.remove(member)) {
      progress.remove(member);
    }
  }

  /** The members that are being brought up to date. */
  public Set<MemberId> learners() {
    return Set.copyOf(learners);
  }

  /** True if no change of members is under way and this leader may propose one. */
  public boolean canChangeMembers() {
    return isReadyLeader() && log.latestMembersIndex() <= commitIndex;
  }

  /**
   * Removes a voter. Refused while another change is under way, or for the leader itself.
   *
   * @return true if the change was proposed
   */
  public boolean removeMember(MemberId member) {
    if (!canChangeMembers() || member.equals(self) || !log.members().contains(member)) {
      return false;
    }
    List<MemberId> next = new ArrayList<>(log.members());
    next.remove(member);
    return proposeMembers(next);
  }

  private boolean proposeMembers(List<MemberId> next) {
    return propose(new LogRecord.Members(next)) > 0;
  }

  /** A learner that has every committed record, or null. */
  public MemberId caughtUpLearner() {
    for (MemberId learner : learners) {
      FollowerProgress state = progress.get(learner);
      if (state != null && state.matchIndex >= commitIndex && state.matchIndex > 0) {
        return learner;
      }
    }
    return null;
  }

  /**
   * Makes a learner a voter. Refused while another change is under way.
   *
   * @return true if the change was proposed
   */
  public boolean promoteLearner(MemberId learner) {
    if (!canChangeMembers() || !learners.contains(learner)) {
      return false;
    }
    List<MemberId> next = new ArrayList<>(log.members());
    next.add(learner);
    boolean proposed = proposeMembers(next);
    if (proposed) {
      learners.remove(learner);
    }
    return proposed;
  }

  // ---- leadership ----

  /** Asks the follower that is furthest ahead to take over. */
  public void transferLeadership(Set<MemberId> candidates, long nowMillis) {
    if (role != Role.LEADER || transferTarget != MemberId.NONE) {
      return;
    }
    MemberId best = MemberId.NONE;
    long bestMatch = -1;
    for (MemberId member : log.members()) {
      FollowerProgress state = progress.get(member);
      if (candidates.contains(member) && state != null && state.matchIndex > bestMatch) {
        best = member;
        bestMatch = state.matchIndex;
      }
    }
    if (best != MemberId.NONE) {
      transferTarget = best;
      transferDeadlineMillis = nowMillis + settings.electionMillis();
      sendTransferIfCaughtUp();
    }
  }

  private void sendTransferIfCaughtUp() {
    FollowerProgress state = progress.get(transferTarget);
    if (state != null && state.matchIndex == log.lastIndex()) {
      output.send(transferTarget, new TransferLeadership(group, term));
    }
  }

  private void onTransfer(TransferLeadership transfer, long nowMillis) {
    if (transfer.term() == term && role == Role.FOLLOWER && isMember()) {
      startElection(nowMillis, true);
    }
  }

  private void tickLeader(long nowMillis) {
    if (transferTarget != MemberId.NONE && nowMillis >= transferDeadlineMillis) {
      transferTarget = MemberId.NONE;
    }
    if (!heardQuorum(nowMillis)) {
      stepDown(term, nowMillis);
      return;
    }
    replicateToAll(nowMillis, true);
    flush(nowMillis);
  }

  private boolean heardQuorum(long nowMillis) {
    int heard = 0;
    for (MemberId member : log.members()) {
      FollowerProgress state = progress.get(member);
      boolean recent =
          state != null && nowMillis - state.lastHeardMillis <= settings.electionMillis();
      if (member.equals(self) || recent) {
        heard++;
      }
    }
    return heard >= quorum();
  }

  private int quorum() {
    return log.members().size() / 2 + 1;
  }

  private void startPreVote(long nowMillis) {
    role = Role.CANDIDATE;
    campaigning = false;
    leader = MemberId.NONE;
    votes.clear();
    votes.add(self);
    resetElectionDeadline(nowMillis);
    if (votes.size() >= quorum()) {
      startElection(nowMillis, false);
      return;
    }
    VoteRequest request =
        new VoteRequest(group, term + 1, log.lastIndex(), log.lastTerm(), true, false);
    sendToOtherMembers(request);
  }

  private void startElection(long nowMillis, boolean transfer) {
    role = Role.CANDIDATE;
    campaigning = true;
    term++;
    votedFor = self;
    leader = MemberId.NONE;
    votes.clear();
    votes.add(self);
    resetElectionDeadline(nowMillis);
    if (votes.size() >= quorum()) {
      becomeLeader(nowMillis);
      return;
    }
    sendToOtherMembers(
        new VoteRequest(group, term, log.lastIndex(), log.lastTerm(), false, transfer));
  }

  private void onVoteRequest(MemberId from, VoteRequest request, long nowMillis) {
    if (isReadyLeader() && isFormerMember(from)) {
      informFormerMember(from, request);
      return;
    }
    boolean hearsLeader = nowMillis - lastLeaderContactMillis < settings.electionMillis();
    boolean leaderInOffice = role == Role.LEADER || hearsLeader;
    boolean upToDate = isUpToDate(request);
    if (request.preVote()) {
      boolean granted = request.term() > term && upToDate && !leaderInOffice;
      long answerTerm = granted ? request.term() : term;
      output.send(from, new VoteResponse(group, answerTerm, true, granted));
      return;
    }
    boolean free = votedFor == MemberId.NONE || votedFor.equals(from);
    boolean granted = request.term() == term && free && upToDate && role != Role.LEADER;
    if (granted) {
      votedFor = from;
      resetElectionDeadline(nowMillis);
    }
    output.send(from, new VoteResponse(group, term, false, granted));
  }

  private boolean isFormerMember(MemberId id) {
    return !progress.containsKey(id) && log.latestMembersIndex() <= commitIndex;
  }

  /** A member that missed its removal stands for election; the log tells it that it is out. */
  private void informFormerMember(MemberId from, VoteRequest request) {
    if (log.matches(request.lastIndex(), request.lastTerm())) {
      List<LogEntry> entries =
          log.entriesFrom(request.lastIndex() + 1, settings.maximumEntriesPerAppend());
      output.send(
          from,
          new AppendRequest(
              group, term, request.lastIndex(), request.lastTerm(), commitIndex, entries));
    }
  }

  private boolean isUpToDate(VoteRequest request) {
    if (request.lastTerm() != log.lastTerm()) {
      return request.lastTerm() > log.lastTerm();
    }
    return request.lastIndex() >= log.lastIndex();
  }

  private void onVoteResponse(MemberId from, VoteResponse response, long nowMillis) {
    boolean expected =
        role == Role.CANDIDATE
            && response.preVote() != campaigning
            && response.term() == (campaigning ? term : term + 1);
    if (!expected || !response.granted() || !log.members().contains(from)) {
      return;
    }
    votes.add(from);
    if (votes.size() < quorum()) {
      return;
    }
    if (campaigning) {
      becomeLeader(nowMillis);
    } else {
      startElection(nowMillis, false);
    }
  }

  private void becomeLeader(long nowMillis) {
    role = Role.LEADER;
    leader = self;
    ready = false;
    transferTarget = MemberId.NONE;
    progress.clear();
    learners.clear();
    for (MemberId member : log.members()) {
      if (!member.equals(self)) {
        progress.put(member, new FollowerProgress(log.lastIndex() + 1, nowMillis));
      }
    }
    output.becameLeader(this);
    propose(new LogRecord.NoOperation());
    termStartIndex = log.lastIndex();
    flush(nowMillis);
  }

  private void stepDown(long newTerm, long nowMillis) {
    boolean wasLeader = role == Role.LEADER;
    if (newTerm > term) {
      term = newTerm;
      votedFor = MemberId.NONE;
    }
    role = Role.FOLLOWER;
    leader = MemberId.NONE;
    ready = false;
    transferTarget = MemberId.NONE;
    resetElectionDeadline(nowMillis);
    if (wasLeader) {
      output.lostLeadership(this);
    }
  }

  // ---- replication ----

  private void replicateToAll(long nowMillis, boolean onlyIfDue) {
    for (MemberId member : progress.keySet()) {
      FollowerProgress state = progress.get(member);
      boolean due = nowMillis - state.lastSentMillis >= settings.heartbeatMillis();
      if (due || !onlyIfDue && state.nextIndex <= log.lastIndex()) {
        replicateTo(member, nowMillis, due);
      }
    }
  }

  private void replicateTo(MemberId member, long nowMillis, boolean repeatSnapshot) {
    FollowerProgress state = progress.get(member);
    if (state.nextIndex <= log.snapshotIndex()) {
      if (!state.snapshotPending || repeatSnapshot) {
        sendSnapshot(member, state, nowMillis);
      }
      return;
    }
    long previous = state.nextIndex - 1;
    List<LogEntry> entries = log.entriesFrom(state.nextIndex, settings.maximumEntriesPerAppend());
    output.send(
        member,
        new AppendRequest(group, term, previous, log.termAt(previous), commitIndex, entries));
    state.nextIndex += entries.size();
    state.lastSentMillis = nowMillis;
  }

  private void sendSnapshot(MemberId member, FollowerProgress state, long nowMillis) {
    output.send(
        member,
        new SnapshotInstall(
            group,
            term,
            commitIndex,
            log.termAt(commitIndex),
            log.membersAt(commitIndex),
            stateMachine.snapshot()));
    state.snapshotPending = true;
    state.lastSentMillis = nowMillis;
  }

  private void onAppendRequest(MemberId from, AppendRequest request, long nowMillis) {
    if (request.term() < term) {
      output.send(from, new AppendResponse(group, term, false, log.lastIndex()));
      return;
    }
    followLeader(from, nowMillis);
    if (request.previousIndex() < log.snapshotIndex()) {
      // All that this replica has compacted is committed, and a leader has every committed entry.
      output.send(from, new AppendResponse(group, term, true, commitIndex));
      return;
    }
    if (!log.matches(request.previousIndex(), request.previousTerm())) {
      long hint = Math.min(log.lastIndex(), request.previousIndex() - 1);
      output.send(from, new AppendResponse(group, term, false, Math.max(hint, commitIndex)));
      return;
    }
    long index = request.previousIndex();
    for (LogEntry entry : request.entries()) {
      index++;
      appendAsFollower(index, entry);
    }
    commitTo(Math.min(request.commitIndex(), index));
    output.send(from, new AppendResponse(group, term, true, index));
  }

  private void appendAsFollower(long index, LogEntry entry) {
    if (index <= log.lastIndex()) {
      if (index <= log.snapshotIndex() || log.termAt(index) == entry.term()) {
        return;
      }
      log.truncateFrom(index);
    }
    log.append(entry);
  }

  private void followLeader(MemberId from, long nowMillis) {
    if (role != Role.FOLLOWER) {
      stepDown(term, nowMillis);
    }
    leader = from;
    lastLeaderContactMillis = nowMillis;
    resetElectionDeadline(nowMillis);
  }

  private void onAppendResponse(MemberId from, AppendResponse response, long nowMillis) {
    FollowerProgress state = progress.get(from);
    if (role != Role.LEADER || response.term() != term || state == null) {
      return;
    }
    state.lastHeardMillis = nowMillis;
    if (!response.success()) {
      state.nextIndex = Math.min(state.nextIndex, response.matchIndex() + 1);
      state.nextIndex = Math.max(state.nextIndex, state.matchIndex + 1);
      replicateTo(from, nowMillis, false);
      return;
    }
    if (response.matchIndex() > state.matchIndex) {
      state.matchIndex = response.matchIndex();
    }
    if (state.nextIndex <= state.matchIndex) {
      state.nextIndex = state.matchIndex + 1;
    }
    state.snapshotPending = state.snapshotPending && state.matchIndex < log.snapshotIndex();
    advanceCommit(nowMillis);
    if (role == Role.LEADER && state.nextIndex <= log.lastIndex()) {
      replicateTo(from, nowMillis, false);
    }
    if (from.equals(transferTarget)) {
      sendTransferIfCaughtUp();
    }
  }

  private void onSnapshot(MemberId from, SnapshotInstall snapshot, long nowMillis) {
    if (snapshot.term() < term) {
      output.send(from, new AppendResponse(group, term, false, log.lastIndex()));
      return;
    }
    followLeader(from, nowMillis);
    if (snapshot.lastIndex() > commitIndex) {
      log.resetTo(snapshot.lastIndex(), snapshot.lastTerm(), snapshot.members());
      stateMachine.reset();
      for (LogRecord record : snapshot.records()) {
        stateMachine.apply(record);
      }
      commitIndex = snapshot.lastIndex();
    }
    output.send(from, new AppendResponse(group, term, true, commitIndex));
  }

  /** A leader counts copies only of entries of its own term; older ones follow with them. */
  private void advanceCommit(long nowMillis) {
    if (role != Role.LEADER) {
      return;
    }
    List<MemberId> members = log.members();
    long[] matched = new long[members.size()];
    for (int i = 0; i < matched.length; i++) {
      MemberId member = members.get(i);
      FollowerProgress state = progress.get(member);
      long matchIndex = state == null ? 0 : state.matchIndex;
      matched[i] = member.equals(self) ? log.lastIndex() : matchIndex;
    }
    Arrays.sort(matched);
    long candidate = matched[matched.length - quorum()];
    if (candidate > commitIndex && log.termAt(candidate) == term) {
      commitTo(candidate);
      removeFormerMembers(nowMillis);
      if (!ready && commitIndex >= termStartIndex) {
        ready = true;
        output.leaderReady(this);
      }
    }
  }

  private void removeFormerMembers(long nowMillis) {
    if (log.latestMembersIndex() > commitIndex) {
      return;
    }
    List<MemberId> members = log.members();
    for (MemberId former : new ArrayList<>(progress.keySet())) {
      if (!members.contains(former) && !learners.contains(former)) {
        // The last message tells the former member that its removal is committed.
        replicateTo(former, nowMillis, false);
        progress.remove(former);
      }
    }
  }

  private void commitTo(long index) {
    while (commitIndex < index) {
      commitIndex++;
      LogRecord record = log.entry(commitIndex).record();
      stateMachine.apply(record);
      output.applied(this, commitIndex, record);
    }
    if (log.size() > settings.maximumLogEntries() && commitIndex > log.snapshotIndex()) {
      compact();
    }
  }

  /** Keeps half of the longest log, so that a follower a little behind needs no snapshot. */
  private void compact() {
    long keepFrom = log.lastIndex() - settings.maximumLogEntries() / 2;
    long target = Math.min(commitIndex, keepFrom);
    if (target > log.snapshotIndex()) {
      log.compactTo(target);
    }
  }

  private void sendToOtherMembers(PeerMessage message) {
    for (MemberId member : log.members()) {
      if (!member.equals(self)) {
        output.send(member, message);
      }
    }
  }

  private void resetElectionDeadline(long nowMillis) {
    int timeout = settings.electionMillis();
    electionDeadlineMillis = nowMillis + timeout + random.nextInt(timeout);
  }
}
