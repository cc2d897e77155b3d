package org.baykeel.gateway.quarantine;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.baykeel.gateway.directory.Engine;
import org.baykeel.gateway.directory.EngineDirectory;
import org.baykeel.gateway.directory.EngineIncarnation;
import org.baykeel.gateway.peer.PeerAddress;
import org.baykeel.gateway.peer.PeerDirectory;
import org.baykeel.gateway.peer.PeerMessage;
import org.baykeel.gateway.peer.RunPhase;
import org.baykeel.gateway.program.RequestFingerprint;
import org.baykeel.gateway.runtime.EventLoop;
import org.baykeel.gateway.telemetry.GatewayLog;

/**
 * Follows the runs of this node's requests at engines beyond the end of their attempts, until it is
 * proved that the engine no longer runs them, and tells all peers of those that are unresolved.
 *
 * <p>Invariants: a run that was sent counts until the engine responds to it, states that it did not
 * run it, or responds to something that was sent after the time for which it may run it or after
 * its connection was lost; an accepted or open connection, or an earlier response, proves nothing.
 * A run at an engine that ends meanwhile is evidence against its request.
 */
final class RunTracker {
  /** A run whose attempt ended early is unresolved for at most so long before the proof. */
  private static final long MAX_UNRESOLVED_NANOS = 5_000_000_000L;

  /** Engines cease work at the deadline, but may end a little after it. */
  private static final long AFTER_DEADLINE_NANOS = 3_000_000_000L;

  /** For so long a proof is awaited from other responses of the engine before it is asked. */
  private static final long PROOF_MILLIS = 1_500;

  /** The same after a lost connection, since the engine may have ended. */
  private static final long LOST_PROOF_MILLIS = 250;

  /** A claim that depends on what other nodes decide is withdrawn after this time. */
  private static final long MAX_UNDECIDED_NANOS = 800_000_000L;

  /** The longest time from a deadline until a run is resolved, in milliseconds. */
  static final long MAX_PROOF_MILLIS = AFTER_DEADLINE_NANOS / 1_000_000 + PROOF_MILLIS;

  /** The most runs of other nodes that are passed on to a peer that has started. */
  private static final int MAX_PASSED_ON = 32;

  /** The most runs that are kept in the store. */
  private static final int MAX_KEPT = 128;

  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Receives what happens to engines with unresolved runs. */
  interface Listener {
    /**
     * Called when an engine has ended.
     *
     * @param endedNanos when it ended, by the event loop's clock
     * @param requests the requests of this node that it may have been running
     */
    void engineEnded(EngineIncarnation engine, long endedNanos, List<RequestFingerprint> requests);

    /** Called when there is a further, or a lasting, reason to guard a request. */
    void exposureGrew(RequestFingerprint request);

    /** Called when a run of this node was sent. */
    void runSent();

    /** Called when a run that may be kept in the store counts no longer. */
    void runResolved();

    /** Called when a claim, or a run in progress of which peers were notified, has changed. */
    void guardedRunChanged();

    /**
     * Called when what is known of the end of a run should be known to all nodes before its caller
     * returns.
     *
     * @param done is called exactly once, when it is or after a short time limit
     */
    void awaitSharing(Runnable done);
  }

  private final EngineEndHistory history;
  private final RunLedger ledger;
  private final RequestExposure exposure;
  private final Function<RequestFingerprint, Verdict> evidence;
  private final EngineEndDetector detector;
  private final EngineProver prover;
  private final RunNotifier notifier;
  private final RegisteredRuns registered;
  private final SharedEvidence shared;
  private final EngineDirectory engines;
  private final EventLoop eventLoop;
  private final RunLog log;
  private final Listener listener;
  private final RunIds runIds;

  /**
   * Creates a tracker without runs.
   *
   * @param nodeName distinguishes the runs of nodes that started at the same time
   * @param evidence returns what the ends of engines alone say of a request
   * @param shared the evidence of nodes whose notices may not arrive
   */
  RunTracker(
      String nodeName,
      EngineEndHistory history,
      RunLedger ledger,
      RequestExposure exposure,
      Function<RequestFingerprint, Verdict> evidence,
      EngineEndDetector detector,
      EngineLivenessCheck livenessCheck,
      RunNotifier notifier,
      SharedEvidence shared,
      PeerDirectory peers,
      EngineDirectory engines,
      EventLoop eventLoop,
      GatewayLog log,
      Listener listener) {
    this.history = history;
    this.ledger = ledger;
    this.exposure = exposure;
    this.evidence = evidence;
    this.detector = detector;
    this.prover = new EngineProver(livenessCheck, eventLoop, new ProofListener());
    this.notifier = notifier;
    this.shared = shared;
    PeerResponsiveness responsiveness = new PeerResponsiveness(peers, eventLoop);
    this.registered =
        new RegisteredRuns(
            ledger,
            new RunRegistrars(peers, responsiveness, shared::isUnreachable),
            responsiveness,
            notifier,
            eventLoop,
            this::onOrphaned);
    this.engines = engines;
    this.eventLoop = eventLoop;
    this.log = new RunLog(eventLoop, log);
    this.listener = listener;
    this.runIds = new RunIds(nodeName, eventLoop);
  }

  /** Creates a run of a request, which is not sent yet. */
  EngineRun newRun(RequestFingerprint.Builder work) {
    return new Run(new TrackedRun(runIds.next(), work, eventLoop.nanoTime()));
  }

  /** A run as its attempt sees it. */
  private final class Run implements EngineRun {
    private TrackedRun run;
    private ClaimWait claimWait;
    private SharedEvidence.Wait evidenceWait;
    private SharedEvidence.Wait claimConfirmation;

    Run(TrackedRun run) {
      this.run = run;
    }

    @Override
    public Verdict claim() {
      RequestFingerprint request = run.request();
      Verdict found = evidence.apply(request);
      long now = eventLoop.nanoTime();
      if (!found.sendable()) {
        withdraw();
        return found;
      }
      if (claimWait != null) {
        return decideClaim(found, now);
      }
      if (evidenceWait == null) {
        evidenceWait = shared.awaitEvidence();
      }
      if (!evidenceWait.over()) {
        return Verdict.UNDECIDED;
      }
      if (exposure.exhausted(request, now)) {
        return Verdict.HELD;
      }
      if (!exposure.guarded(request, now)) {
        return found;
      }
      return evidenceWait.failed() ? Verdict.HELD : beginClaim(now);
    }

    private Verdict beginClaim(long now) {
      claimWait = new ClaimWait(now);
      ledger.addClaim(run);
      notifier.send(run);
      claimConfirmation = shared.confirmClaim();
      registered.onOwnRun(run.request());
      return Verdict.UNDECIDED;
    }

    private Verdict decideClaim(Verdict found, long now) {
      ClaimWait.State state = claimWait.look(now);
      boolean failed = state == ClaimWait.State.FAILED || claimConfirmation.failed();
      boolean exhausted = exposure.exhausted(run, now);
      if (exhausted && !failed && shared.expectsNotices()) {
        return awaitOthers(now);
      }
      if (failed || exhausted) {
        withdraw();
        return Verdict.HELD;
      }
      if (state != ClaimWait.State.OVER || !claimConfirmation.over()) {
        return Verdict.UNDECIDED;
      }
      if (exposure.contested(run, now)) {
        claimConfirmation = shared.confirmClaim();
        return awaitOthers(now);
      }
      return found;
    }

    /** Notices, or the rows of nodes that send or withdraw their claims, are expected soon. */
    private Verdict awaitOthers(long now) {
      if (now - run.startedNanos() < MAX_UNDECIDED_NANOS) {
        return Verdict.UNDECIDED;
      }
      withdraw();
      return Verdict.HELD;
    }

    @Override
    public void withdraw() {
      evidenceWait = null;
      if (claimWait != null) {
        claimWait = null;
        ledger.remove(run);
        notifier.send(run);
        listener.guardedRunChanged();
        run = new TrackedRun(runIds.next(), run.request(), eventLoop.nanoTime());
      }
    }

    @Override
    public void sent(Engine engine, long deadlineNanos) {
      run.sent(engine, deadlineNanos, eventLoop.nanoTime());
      ledger.addSent(run);
      if (claimWait != null) {
        claimWait = null;
        notifier.send(run);
        listener.guardedRunChanged();
      } else {
        registered.register(run);
        registered.onOwnRun(run.request());
      }
      listener.runSent();
    }

    @Override
    public void closed() {
      close(RunPhase.CLOSED);
    }

    @Override
    public void completed() {
      close(RunPhase.COMPLETED);
    }

    private void close(RunPhase phase) {
      if (!ledger.remove(run)) {
        return;
      }
      if (run.announced()) {
        notifier.send(run);
        listener.guardedRunChanged();
      }
      if (run.registered()) {
        registered.close(run, phase);
      }
    }

    @Override
    public void abandoned() {
      onAbandoned(run);
    }

    @Override
    public void connectionLost(Runnable decided) {
      long lostNanos = eventLoop.nanoTime();
      detector.connectionLost(
          run.engine(), run.request(), liveness -> onChecked(lostNanos, liveness, decided));
    }

    private void onChecked(long lostNanos, EngineLiveness liveness, Runnable decided) {
      EngineEnd end = history.find(run.incarnation());
      if (end != null) {
        ledger.remove(run);
        addTo(end, run);
      } else if (liveness == EngineLiveness.RUNNING) {
        closed();
      } else {
        onConnectionLost(run, lostNanos);
      }
      if (liveness == EngineLiveness.RUNNING) {
        decided.run();
      } else {
        listener.awaitSharing(decided);
      }
    }
  }

  // Runs whose attempts have ended.

  /** The end may be known from a peer that did not run the request. */
  private void addTo(EngineEnd end, TrackedRun run) {
    if (!end.ran(run.request())) {
      listener.engineEnded(run.incarnation(), end.endedNanos(), List.of(run.request()));
    }
  }

  private void onAbandoned(TrackedRun run) {
    long now = eventLoop.nanoTime();
    EngineEnd end = history.find(run.incarnation());
    if (end != null) {
      ledger.remove(run);
      addTo(end, run);
      return;
    }
    if (history.completedAfter(run.request(), run.startedNanos())) {
      ledger.remove(run);
      return;
    }
    run.provableFrom(provableNanos(run, now), false);
    addUnresolved(run, RunLog.Doubt.ATTEMPT, PROOF_MILLIS);
  }

  /** Returns from when a response proves that an engine does not run a request any more. */
  private static long provableNanos(TrackedRun run, long nowNanos) {
    long ceasesNanos = Math.min(run.deadlineNanos(), nowNanos + MAX_UNRESOLVED_NANOS);
    return Math.max(ceasesNanos, nowNanos) + AFTER_DEADLINE_NANOS;
  }

  private void onConnectionLost(TrackedRun run, long lostNanos) {
    run.provableFrom(lostNanos, true);
    addUnresolved(run, RunLog.Doubt.CONNECTION_LOST, LOST_PROOF_MILLIS);
  }

  private void addUnresolved(TrackedRun run, RunLog.Doubt doubt, long proofMillis) {
    ledger.addUnresolved(run);
    notifier.send(run);
    log.unresolved(run, doubt);
    listener.exposureGrew(run.request());
    boolean removed = run.engine().removed();
    long proofNanos = run.provableNanos() + proofMillis * NANOS_PER_MILLI;
    prover.askAt(run.engine(), removed ? eventLoop.nanoTime() : proofNanos);
  }

  private void resolve(TrackedRun run, RunLog.Resolution resolution) {
    remove(run, resolution);
    notifier.send(run);
    listener.runResolved();
  }

  private void remove(TrackedRun run, RunLog.Resolution resolution) {
    ledger.remove(run);
    log.resolved(run, resolution);
  }

  /** Peers count the run until they know the end, which another datagram tells. */
  private void end(TrackedRun run, long foundNanos) {
    remove(run, RunLog.Resolution.END);
    listener.engineEnded(run.incarnation(), run.endedNanos(foundNanos), List.of(run.request()));
  }

  /** Records that an engine responded to a request that was sent at a time. */
  void responded(Engine engine, long sentNanos) {
    for (TrackedRun run : ledger.unresolvedAt(engine)) {
      if (sentNanos - run.provableNanos() >= 0) {
        resolve(run, RunLog.Resolution.RESPONSE);
      }
    }
    ledger.removePeerRunsProvedBy(engine, sentNanos, eventLoop.nanoTime());
  }

  // Questions to engines.

  /** Applies what engines with unresolved runs answer. */
  private final class ProofListener implements EngineProver.Listener {
    @Override
    public void answered(
        Engine engine, EngineLiveness liveness, long askedNanos, boolean askedAfterRemoval) {
      if (liveness == EngineLiveness.ENDED) {
        onEnded(engine, askedAfterRemoval);
        return;
      }
      for (TrackedRun run : ledger.unresolvedAt(engine)) {
        if (liveness == EngineLiveness.RUNNING) {
          onRunning(run, askedNanos, askedAfterRemoval);
        } else {
          onNoAnswer(run, liveness, askedAfterRemoval);
        }
      }
    }

    @Override
    public long nextQuestionNanos(Engine engine) {
      return ledger.unresolvedAt(engine).stream()
          .mapToLong(TrackedRun::provableNanos)
          .min()
          .orElse(Long.MAX_VALUE);
    }
  }

  private void onRunning(TrackedRun run, long askedNanos, boolean askedAfterRemoval) {
    if (askedNanos - run.provableNanos() >= 0) {
      resolve(run, RunLog.Resolution.ANSWER);
    } else if (askedAfterRemoval) {
      run.markLeftByPlan();
    }
  }

  private void onEnded(Engine engine, boolean askedAfterRemoval) {
    for (TrackedRun run : ledger.unresolvedAt(engine)) {
      if (run.leftByPlan()) {
        resolve(run, RunLog.Resolution.PLAN);
      } else if (run.atDrainingEngine()) {
        // Its end may be planned or not: no evidence, but the run counts.
        onNoAnswer(run, EngineLiveness.ENDED, askedAfterRemoval);
      }
    }
    if (engine.record().draining()) {
      return;
    }
    // The end of one run makes the others at the engine end as well.
    ledger.unresolvedAt(engine).stream()
        .findFirst()
        .ifPresent(run -> end(run, eventLoop.nanoTime()));
  }

  private void onNoAnswer(TrackedRun run, EngineLiveness liveness, boolean askedAfterRemoval) {
    long now = eventLoop.nanoTime();
    boolean provable = now - run.provableNanos() >= 0;
    if (provable && run.leftByPlan()) {
      resolve(run, RunLog.Resolution.PLAN);
    } else if (now - run.startedNanos() > EngineEndHistory.LIFETIME_NANOS) {
      resolve(run, RunLog.Resolution.EXPIRY);
    } else {
      if (askedAfterRemoval && !run.vanished()) {
        run.markVanished();
        log.vanished(run, liveness);
      }
      // Peers, and the rows of the store, count the run for a limited time only.
      notifier.send(run);
      listener.exposureGrew(run.request());
    }
  }

  // Engines that ended or vanished.

  /** Handles that an engine is known to have ended. */
  void engineEnded(EngineIncarnation engine, long endedNanos) {
    boolean known = history.find(engine) != null;
    for (TrackedRun run : ledger.unresolvedAt(engine)) {
      if (known || !run.atDrainingEngine()) {
        end(run, endedNanos);
      }
    }
  }

  /**
   * Returns the requests that an engine may have been running for peers, as all nodes know. What
   * became of the runs that are registered here, their nodes are asked first.
   */
  List<RequestFingerprint> requestsOfPeers(EngineIncarnation engine) {
    return ledger.peerRunsAt(engine, eventLoop.nanoTime()).stream()
        .filter(run -> !registered.contains(run))
        .map(PeerRun::request)
        .toList();
  }

  /** Handles that an engine ended, of which the runs that all nodes know are a part now. */
  void onEndRecorded(EngineIncarnation engine) {
    for (PeerRun run : ledger.peerRunsAt(engine, eventLoop.nanoTime())) {
      if (registered.contains(run)) {
        registered.ask(run);
      } else {
        ledger.removePeerRun(run.id());
      }
    }
  }

  /**
   * Handles that the entry of an engine is gone: if the engine responds, it leaves by plan; if not,
   * it vanished and may have ended under its runs.
   */
  void engineRemoved(Engine engine) {
    long now = eventLoop.nanoTime();
    if (!ledger.unresolvedAt(engine).isEmpty()) {
      prover.askAt(engine, now);
    }
    if (!engine.record().draining()) {
      for (PeerRun run : ledger.peerRunsAt(EngineIncarnation.of(engine.record()), now)) {
        ledger.put(run.expiringAt(now + RequestExposure.HOLD_NANOS), now);
      }
    }
  }

  // Runs of nodes that do not respond any more.

  /** Follows a run of another node in its place. */
  private void onOrphaned(PeerRun run, PeerAddress holder) {
    long now = eventLoop.nanoTime();
    log.orphaned(run, holder);
    ledger.removePeerRun(run.id());
    EngineEnd end = history.find(run.engine());
    Engine engine = engines.find(run.engine().id());
    if (end != null) {
      listener.engineEnded(run.engine(), end.endedNanos(), List.of(run.request()));
    } else if (engine == null) {
      PeerRun kept = run.orphaned(now, now + RequestExposure.HOLD_NANOS);
      ledger.put(kept, now);
      notifier.send(kept);
      listener.exposureGrew(run.request());
    } else if (!EngineIncarnation.of(engine.record()).equals(run.engine())) {
      listener.engineEnded(run.engine(), now, List.of(run.request()));
    } else {
      follow(TrackedRun.orphaned(run, engine), now);
    }
  }

  private void follow(TrackedRun run, long nowNanos) {
    ledger.addSent(run);
    run.provableFrom(provableNanos(run, nowNanos), false);
    addUnresolved(run, RunLog.Doubt.NODE_LOST, 0);
    // The engine may have ended at the same time as the node.
    prover.askAt(run.engine(), nowNanos);
  }

  /** Handles what the node that began a run tells of it although it seemed to be lost. */
  private void onHolderReturned(TrackedRun run, PeerMessage.EngineRunNotice notice) {
    if (notice.phase().closed()) {
      resolve(run, RunLog.Resolution.HOLDER);
    }
  }

  /**
   * Handles a run in progress that the store has, when this node starts.
   *
   * @param holder the node whose row has it; empty for a row of this node
   */
  void onStored(
      PeerMessage.EngineRunNotice notice, long writtenNanos, Optional<PeerAddress> holder) {
    PeerRun run = onNotice(notice, writtenNanos);
    if (run != null) {
      registered.onStored(run, holder);
    }
  }

  /** Returns whether replies about runs that the store has are awaited. */
  boolean awaitsReplies() {
    return registered.awaitsReplies();
  }

  /**
   * Handles the query of a peer that has a notice of a run from this node. This incarnation does
   * not follow the runs of an earlier one, whatever it knows of them.
   */
  void onQuery(PeerAddress sender, PeerMessage.EngineRunQuery query) {
    TrackedRun own = ledger.find(query.runId());
    PeerRun ofPeer = ledger.findPeerRun(query.runId(), eventLoop.nanoTime());
    if (own != null) {
      notifier.register(sender, own);
    } else if (runIds.isOfThisIncarnation(query.runId())) {
      notifier.sendPhase(sender, query.runId(), RunPhase.CLOSED);
    } else if (ofPeer != null && !runIds.isOfThisNode(query.runId())) {
      notifier.reply(sender, ofPeer);
    } else {
      notifier.sendPhase(sender, query.runId(), RunPhase.ORPHANED);
    }
  }

  // Runs of peers, and guarded requests.

  /** Notifies peers of the runs in progress of a request that is guarded from now on. */
  void announceOpen(RequestFingerprint request) {
    for (TrackedRun run : ledger.of(request)) {
      if (run.phase() == RunPhase.OPEN && !run.announced()) {
        notifier.send(run);
      }
    }
  }

  /** Handles a notice of a peer. */
  void onNotice(PeerAddress sender, PeerMessage.EngineRunNotice notice) {
    TrackedRun followed = ledger.find(notice.runId());
    if (followed != null) {
      if (followed.orphaned()) {
        onHolderReturned(followed, notice);
      }
      return;
    }
    if (notice.phase() == RunPhase.ORPHANED && notice.request().equals(RunNotifier.UNNAMED)) {
      registered.onNotFollowed(sender, notice.runId());
      return;
    }
    if (notice.phase() == RunPhase.COMPLETED) {
      registered.onCompleted(notice.runId());
    }
    ledger.noticed(notice.runId());
    boolean guarded =
        notice.phase() == RunPhase.OPEN && exposure.guarded(notice.request(), eventLoop.nanoTime());
    PeerRun run = onNotice(notice, eventLoop.nanoTime());
    if (run != null) {
      registered.onNotice(sender, run, guarded);
    }
  }

  /**
   * Handles a notice of a run of another node, or of an earlier incarnation of this one.
   *
   * @param writtenNanos when the notice was written, by the event loop's clock
   * @return the run, or null if the notice is ignored
   */
  PeerRun onNotice(PeerMessage.EngineRunNotice notice, long writtenNanos) {
    PeerRun run = PeerRun.of(notice, writtenNanos);
    if (isIgnored(run)) {
      return null;
    }
    ledger.put(run, eventLoop.nanoTime());
    if (run.phase().unresolved()) {
      listener.exposureGrew(run.request());
    }
    return run;
  }

  /** Handles the runs in progress and the claims in the row of another node, after the start. */
  void onRow(String node, List<PeerMessage.EngineRunNotice> inProgress, long writtenNanos) {
    List<PeerRun> peerRuns =
        inProgress.stream()
            .map(notice -> PeerRun.of(notice, writtenNanos))
            .filter(run -> !isIgnored(run))
            .toList();
    ledger.putStored(node, peerRuns, eventLoop.nanoTime());
  }

  private boolean isIgnored(PeerRun run) {
    return runIds.isOfThisIncarnation(run.id())
        || history.completedAfter(run.request(), run.startedNanos());
  }

  /** Handles that a peer has started: it is notified of the runs that were announced before. */
  void onPeerStarted(PeerAddress peer) {
    registered.onPeerStarted(peer);
    registered.registerAgain();
    sendRunsTo(peer);
  }

  /** Handles that a peer is not reached any more. */
  void onPeerLost() {
    registered.registerAgain();
  }

  /** Notifies a peer of the runs that it may not know: those announced, and those of others. */
  void sendRunsTo(PeerAddress peer) {
    ledger.announced().forEach(run -> notifier.sendTo(peer, run));
    long now = eventLoop.nanoTime();
    ledger.peerRuns(now).stream()
        .filter(run -> exposure.guarded(run.request(), now))
        .limit(MAX_PASSED_ON)
        .forEach(run -> notifier.sendTo(peer, run));
  }

  /**
   * Returns notices of the latest unresolved runs of this node and of its earlier incarnations,
   * which are kept in the store.
   *
   * @param inProgress whether the runs in progress are kept as well
   * @param guarded whether the claims and the runs in progress of guarded requests are kept
   */
  List<PeerMessage.EngineRunNotice> noticesToKeep(boolean inProgress, boolean guarded) {
    List<TrackedRun> unresolved = ledger.unresolved();
    List<PeerMessage.EngineRunNotice> notices = new ArrayList<>();
    for (PeerRun run : ledger.peerRuns(eventLoop.nanoTime())) {
      if (runIds.isOfThisNode(run.id()) && run.phase().unresolved()) {
        notices.add(notifier.notice(run));
      }
    }
    for (TrackedRun run : ledger.inProgress()) {
      if (inProgress || guarded && run.announced()) {
        notices.add(notifier.notice(run));
      }
    }
    if (guarded) {
      ledger.claims().forEach(run -> notices.add(notifier.notice(run)));
    }
    unresolved.forEach(run -> notices.add(notifier.notice(run)));
    return notices.subList(Math.max(0, notices.size() - MAX_KEPT), notices.size());
  }
}
