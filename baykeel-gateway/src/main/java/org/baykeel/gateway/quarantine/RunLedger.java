package org.baykeel.gateway.quarantine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.baykeel.gateway.directory.Engine;
import org.baykeel.gateway.directory.EngineIncarnation;
import org.baykeel.gateway.peer.RunPhase;
import org.baykeel.gateway.program.RequestFingerprint;

/**
 * The runs of requests at engines that may be in progress: all those of this node, and those of
 * peers that were announced. Beyond a number, the oldest unresolved runs are dropped.
 */
final class RunLedger {
  private static final int MAX_PEER_RUNS = 4_096;
  private static final int MAX_UNRESOLVED = 1_024;

  private final Map<Engine, Set<TrackedRun>> ownByEngine = new IdentityHashMap<>();
  private final Set<TrackedRun> claims = new LinkedHashSet<>();
  private final Set<TrackedRun> unresolved = new LinkedHashSet<>();
  private final PeerRuns peerRuns = new PeerRuns(run -> count(run.request().head(), -1));

  /** The runs in progress, and the claims, that the row of a node has. */
  private final Map<String, Set<Long>> storedByNode = new HashMap<>();

  /** How many announced or unresolved runs have a certain head of their request's fingerprint. */
  private final Map<Integer, Integer> heads = new HashMap<>();

  /** Returns whether there may be an unresolved run of a request whose fingerprint has a head. */
  boolean hasHead(int head) {
    return heads.containsKey(head);
  }

  boolean hasHeads() {
    return !heads.isEmpty();
  }

  private void count(int head, int difference) {
    heads.merge(head, difference, (one, other) -> one + other == 0 ? null : one + other);
  }

  // Runs of this node.

  void addClaim(TrackedRun run) {
    if (claims.add(run)) {
      count(run.head(), 1);
    }
  }

  /** Returns the claims of this node. */
  List<TrackedRun> claims() {
    return List.copyOf(claims);
  }

  void removeClaim(TrackedRun run) {
    if (claims.remove(run)) {
      count(run.head(), -1);
    }
  }

  void addSent(TrackedRun run) {
    removeClaim(run);
    ownByEngine.computeIfAbsent(run.engine(), any -> new LinkedHashSet<>()).add(run);
  }

  /** Records that a run that was sent is unresolved from now on. */
  void addUnresolved(TrackedRun run) {
    run.markUnresolved();
    if (unresolved.add(run)) {
      count(run.head(), 1);
    }
    if (unresolved.size() > MAX_UNRESOLVED) {
      remove(unresolved.iterator().next());
    }
  }

  /** Removes a run; returns whether it was known. */
  boolean remove(TrackedRun run) {
    run.phase(RunPhase.CLOSED);
    removeClaim(run);
    if (unresolved.remove(run)) {
      count(run.head(), -1);
    }
    Set<TrackedRun> atEngine = ownByEngine.get(run.engine());
    boolean removed = atEngine != null && atEngine.remove(run);
    if (removed && atEngine.isEmpty()) {
      ownByEngine.remove(run.engine());
    }
    return removed;
  }

  /** Returns the unresolved runs at an engine. */
  List<TrackedRun> unresolvedAt(Engine engine) {
    return unresolved.isEmpty()
        ? List.of()
        : ownByEngine.getOrDefault(engine, Set.of()).stream().filter(unresolved::contains).toList();
  }

  /** Returns the unresolved runs at an incarnation of an engine. */
  List<TrackedRun> unresolvedAt(EngineIncarnation engine) {
    return unresolved.stream().filter(run -> run.incarnation().equals(engine)).toList();
  }

  /** Returns the runs of a request that were sent, and the claims to send it. */
  List<TrackedRun> of(RequestFingerprint request) {
    List<TrackedRun> runs = new ArrayList<>();
    for (Set<TrackedRun> atEngine : ownByEngine.values()) {
      addOf(request, atEngine, runs);
    }
    addOf(request, claims, runs);
    return runs;
  }

  private static void addOf(
      RequestFingerprint request, Set<TrackedRun> candidates, List<TrackedRun> runs) {
    for (TrackedRun run : candidates) {
      if (run.isOf(request)) {
        runs.add(run);
      }
    }
  }

  /** Returns the run of this node, or one that it follows, with an identifier; null if none has. */
  TrackedRun find(long id) {
    for (Set<TrackedRun> runs : ownByEngine.values()) {
      for (TrackedRun run : runs) {
        if (run.id() == id) {
          return run;
        }
      }
    }
    return null;
  }

  /** Returns the unresolved runs. */
  List<TrackedRun> unresolved() {
    return List.copyOf(unresolved);
  }

  /** Returns whether a run of a request is unresolved at this node. */
  boolean hasUnresolved(RequestFingerprint request) {
    return unresolved.stream().anyMatch(run -> run.isOf(request));
  }

  /** Returns the runs whose responses are awaited. */
  List<TrackedRun> inProgress() {
    List<TrackedRun> inProgress = new ArrayList<>();
    ownByEngine.values().forEach(inProgress::addAll);
    inProgress.removeIf(run -> run.phase() != RunPhase.OPEN);
    return inProgress;
  }

  /** Returns the runs of which peers were notified. */
  List<TrackedRun> announced() {
    List<TrackedRun> announced = new ArrayList<>();
    ownByEngine.values().forEach(runs -> announced.addAll(runs));
    announced.removeIf(run -> !run.announced());
    return announced;
  }

  // Runs of peers.

  /** Adds a run of a peer, or replaces what was known of it. */
  void put(PeerRun run, long nowNanos) {
    peerRuns.removeExpired(nowNanos);
    PeerRun previous = peerRuns.remove(run.id());
    if (!run.phase().closed()) {
      peerRuns.add(previous == null ? run : previous.updatedBy(run));
      count(run.request().head(), 1);
    }
    if (peerRuns.size() > MAX_PEER_RUNS) {
      peerRuns.remove(peerRuns.eldest().id());
    }
  }

  /** Returns the run of a peer with an identifier, or null if no notice of it holds. */
  PeerRun findPeerRun(long id, long nowNanos) {
    PeerRun run = peerRuns.find(id);
    return run == null || nowNanos - run.expiresNanos() > 0 ? null : run;
  }

  void removePeerRun(long id) {
    peerRuns.remove(id);
  }

  /** Returns the runs of a request of which peers sent notices that hold. */
  List<PeerRun> peerRunsOf(RequestFingerprint request, long nowNanos) {
    peerRuns.removeExpired(nowNanos);
    return peerRuns.of(request);
  }

  /** Returns how many runs of peers were looked at in all searches. */
  long peerRunsExamined() {
    return peerRuns.examined();
  }

  /** Returns all runs of which notices hold. */
  List<PeerRun> peerRuns(long nowNanos) {
    peerRuns.removeExpired(nowNanos);
    return peerRuns.all();
  }

  /** Returns the runs at an engine of which peers sent notices that hold. */
  List<PeerRun> peerRunsAt(EngineIncarnation engine, long nowNanos) {
    peerRuns.removeExpired(nowNanos);
    return peerRuns.at(engine);
  }

  /**
   * Removes the unresolved runs of peers at an engine that responded to a request.
   *
   * @param sentNanos when that request was sent, by the event loop's clock
   */
  void removePeerRunsProvedBy(Engine engine, long sentNanos, long nowNanos) {
    if (peerRuns.isEmpty()) {
      return;
    }
    for (PeerRun run : peerRunsAt(EngineIncarnation.of(engine.record()), nowNanos)) {
      if (run.phase().unresolved() && sentNanos - run.provableNanos() >= 0) {
        removePeerRun(run.id());
      }
    }
  }

  // Runs in progress that rows of the store have.

  /**
   * Replaces the runs in progress, and the claims, that the row of a node has. What notices of
   * these runs tell is not changed.
   */
  void putStored(String node, List<PeerRun> runs, long nowNanos) {
    Set<Long> before = storedByNode.getOrDefault(node, Set.of());
    Set<Long> ids = new HashSet<>();
    for (PeerRun run : runs) {
      if (before.contains(run.id()) || !peerRuns.contains(run.id())) {
        put(run, nowNanos);
        ids.add(run.id());
      }
    }
    before.stream().filter(id -> !ids.contains(id)).forEach(this::removePeerRun);
    if (ids.isEmpty()) {
      storedByNode.remove(node);
    } else {
      storedByNode.put(node, ids);
    }
  }

  /** Records that there was a notice of a run, which tells more than the row of its node. */
  void noticed(long id) {
    if (!storedByNode.isEmpty()) {
      storedByNode.values().forEach(ids -> ids.remove(id));
    }
  }

  /** Forgets the runs in progress of nodes that have no row any more. */
  void retainStored(Set<String> nodes) {
    for (String node : List.copyOf(storedByNode.keySet())) {
      if (!nodes.contains(node)) {
        storedByNode.remove(node).forEach(this::removePeerRun);
      }
    }
  }

  /** Returns whether a run is known from a row of the store. */
  boolean isStored(long id) {
    return storedByNode.values().stream().anyMatch(ids -> ids.contains(id));
  }

  // Requests that completed.

  /**
   * Removes the unresolved runs of a request, and those of peers, that began before it completed.
   *
   * @param completedNanos when it completed, by the event loop's clock
   * @return whether there were any that are not just in progress
   */
  boolean clear(RequestFingerprint request, long completedNanos) {
    List<TrackedRun> own =
        unresolved.stream()
            .filter(run -> run.isOf(request) && run.startedNanos() - completedNanos <= 0)
            .toList();
    own.forEach(this::remove);
    List<PeerRun> ofPeers =
        peerRuns.of(request).stream()
            .filter(run -> run.startedNanos() - completedNanos <= 0)
            .toList();
    ofPeers.forEach(run -> removePeerRun(run.id()));
    return !own.isEmpty() || ofPeers.stream().anyMatch(run -> run.phase() != RunPhase.OPEN);
  }
}
