package org.baykeel.gateway.quarantine;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.IntSupplier;
import org.baykeel.gateway.directory.Engine;
import org.baykeel.gateway.directory.EngineDirectory;
import org.baykeel.gateway.directory.EngineIncarnation;
import org.baykeel.gateway.peer.EngineEndCodec;
import org.baykeel.gateway.peer.PeerAddress;
import org.baykeel.gateway.peer.PeerDirectory;
import org.baykeel.gateway.peer.PeerMessage;
import org.baykeel.gateway.peer.PeerMessageCodec;
import org.baykeel.gateway.peer.PeerMessageListener;
import org.baykeel.gateway.peer.PeerTransport;
import org.baykeel.gateway.peer.RunPhase;
import org.baykeel.gateway.program.RequestFingerprint;
import org.baykeel.gateway.runtime.EventLoop;
import org.baykeel.gateway.storage.DurableStore;
import org.baykeel.gateway.storage.StoreClock;
import org.baykeel.gateway.telemetry.GatewayEvent;
import org.baykeel.gateway.telemetry.GatewayLog;
import org.baykeel.gateway.topology.Topology;

/**
 * The quarantine of one node. Records the ends of engines from its own lost connections, from
 * notices of peers and from the store, and assesses the requests that the engines were running.
 * Used only from the event loop.
 *
 * <p>Invariants: a request is found fatal only if at least three engines ended while they ran it,
 * and no completed run of it is known; while all nodes reach each other, and each run of a request
 * ends with a whole response or the engine's statement that it did not run it, nothing is stored,
 * and nothing is sent to all peers: only registrations of runs and probes.
 */
public final class RequestQuarantine implements Quarantine, PeerMessageListener {
  private static final long NANOS_PER_MILLI = 1_000_000;

  /**
   * How long a request waits whose engines all ended at once. A request that many callers send may
   * run on all engines of a failed rack, and completes elsewhere within this time.
   */
  private static final long SIMULTANEOUS_ENDS_NANOS = 300_000_000L;

  /** Nodes report the requests that an engine was running at slightly different times. */
  private static final long SETTLE_NANOS = 100_000_000L;

  /** More than the error of a time that was converted between the clocks of two nodes. */
  private static final long CLOCK_TOLERANCE_NANOS = 100_000_000L;

  /**
   * How long requests wait after the start of a node until the store's rows have been read and
   * peers have answered. Nodes read their configuration from the same store before they can serve.
   */
  private static final long MAX_LOAD_NANOS = 2_000_000_000L;

  private static final long GUARDED_WRITE_MILLIS = 20;
  private static final long MIN_WRITE_MILLIS = 200;
  private static final long WRITE_MILLIS_OF_NODE = 20;

  /** All nodes together write at most 200 rows a second with runs in progress. */
  private static final long KEEP_NANOS_OF_NODE = 5_000_000L;

  /** The most ends that are passed on to a peer that has started. */
  private static final int MAX_PASSED_ON = 32;

  /** How often a node that does not reach a peer shows by its row that it runs. */
  private static final long SHOW_RUNNING_MILLIS = 5_000;

  /** Nodes that run write their rows within this time, even if the store lags. */
  private static final long KEEP_ROW_NANOS = 2 * SHOW_RUNNING_MILLIS * NANOS_PER_MILLI;

  /** The caller of a run whose engine may have ended waits for so long until the row is written. */
  private static final long MAX_SHARING_MILLIS = 200;

  /** The most requests or engines that a line of the log names. */
  private static final int MAX_LOGGED = 16;

  private final EngineDirectory engines;
  private final PeerDirectory peers;
  private final EventLoop eventLoop;
  private final GatewayLog log;
  private final EngineEndHistory history = new EngineEndHistory();
  private final SuspectPlacement placement;
  private final EngineEndDetector detector;
  private final EngineEndNotifier notifier;
  private final RunNotifier runNotifier;
  private final EngineEndTable table;
  private final RunLedger ledger = new RunLedger();
  private final EarlierLoss earlierLoss;
  private final RequestExposure exposure;
  private final PeerReachability reachability;
  private final EvidenceDigest digest;
  private final EvidenceExchange exchange;
  private final RunTracker runs;
  private final List<Runnable> listeners = new ArrayList<>();
  private final Set<RequestFingerprint> reported = new HashSet<>();
  private final Set<Integer> suspectHeads = new HashSet<>();
  private final String nodeName;
  private long keptNanos;
  private long awaitEvidenceUntilNanos;
  private boolean awaitsEvidence;

  /** From what a node learnt that an engine ended, for the log. */
  private enum Source {
    /** This node lost its connections to the engine. */
    OBSERVED,
    /** A notice of a peer. */
    PEER,
    /** The store. */
    STORE
  }

  /**
   * Creates a quarantine without evidence.
   *
   * @param nodeName the name of this node, the key of its row in the store
   * @param topology the regions of the engines' zones
   * @param livenessCheck finds out whether an engine has ended
   * @param log receives one line for each check, each new end and each fatal request
   */
  public RequestQuarantine(
      String nodeName,
      EngineDirectory engines,
      Topology topology,
      EngineLivenessCheck livenessCheck,
      PeerDirectory peers,
      PeerTransport transport,
      PeerMessageCodec codec,
      DurableStore store,
      StoreClock storeClock,
      EventLoop eventLoop,
      GatewayLog log) {
    this.nodeName = nodeName;
    this.engines = engines;
    this.peers = peers;
    this.placement = new SuspectPlacement(history, topology);
    this.eventLoop = eventLoop;
    this.log = log;
    this.detector =
        new EngineEndDetector(
            livenessCheck,
            eventLoop,
            log,
            (engine, endedNanos, requests) ->
                onObserved(EngineIncarnation.of(engine.record()), endedNanos, requests));
    this.notifier = new EngineEndNotifier(peers, transport, codec, eventLoop);
    this.runNotifier = new RunNotifier(peers, transport, codec, eventLoop);
    this.earlierLoss = new EarlierLoss(peers, runNotifier, eventLoop, log);
    this.exposure = new RequestExposure(history, ledger, this::unseenEnds);
    this.digest = new EvidenceDigest(history);
    this.exchange = new EvidenceExchange(eventLoop, this::sendEvidenceTo);
    this.reachability =
        new PeerReachability(
            peers,
            transport,
            codec,
            runNotifier,
            eventLoop,
            digest::value,
            new ReachabilityListener());
    this.table =
        new EngineEndTable(
            nodeName,
            store,
            storeClock,
            codec,
            eventLoop,
            log,
            this::runsToKeep,
            () -> peers.peers().size(),
            new TableListener());
    this.keptNanos = eventLoop.nanoTime();
    this.runs =
        new RunTracker(
            nodeName,
            history,
            ledger,
            exposure,
            this::evidence,
            detector,
            livenessCheck,
            runNotifier,
            new StoredEvidence(reachability, table, eventLoop),
            peers,
            engines,
            eventLoop,
            log,
            new RunListener());
    engines.onRestart(
        (engine, startBefore, startNow, source) ->
            onEndReported(new EngineIncarnation(engine, startBefore), eventLoop.nanoTime()));
    engines.onRemoval(runs::engineRemoved);
  }

  private List<PeerMessage.EngineRunNotice> runsToKeep() {
    return runs.noticesToKeep(earlierLoss.mayRepeat(), !reachability.fullyInTouch());
  }

  /** A group of nodes that is in touch sends a request that it does not know without a wait. */
  private int unseenEnds() {
    return earlierLoss.unseenEnds() + (reachability.inTouch() ? 0 : 1);
  }

  /** Adopts what the rows of all nodes have. */
  private final class TableListener implements EngineEndTable.Listener {
    @Override
    public void endRead(
        EngineIncarnation engine, long endedNanos, List<RequestFingerprint> requests) {
      add(engine, endedNanos, requests, Source.STORE);
    }

    @Override
    public void runRead(String node, PeerMessage.EngineRunNotice run, long writtenNanos) {
      if (run.phase() != RunPhase.OPEN) {
        runs.onNotice(run, writtenNanos);
      } else if (!table.loaded()) {
        boolean own = node.equals(nodeName);
        runs.onStored(run, writtenNanos, own ? Optional.empty() : peers.addressOf(node));
      }
    }

    @Override
    public void rowRead(
        String node, List<PeerMessage.EngineRunNotice> inProgress, long writtenNanos) {
      runs.onRow(node, inProgress, writtenNanos);
    }

    @Override
    public void allRead(Map<String, Long> writtenNanosByNode) {
      ledger.retainStored(writtenNanosByNode.keySet());
      long sinceNanos = eventLoop.nanoTime() - PeerReachability.ABSENT_NANOS;
      Set<PeerAddress> running = new HashSet<>();
      writtenNanosByNode.forEach(
          (node, writtenNanos) -> {
            if (writtenNanos - sinceNanos >= 0) {
              peers.addressOf(node).ifPresent(running::add);
            }
          });
      reachability.recordRunning(running);
    }
  }

  /** Adopts whether this node reaches its peers. */
  private final class ReachabilityListener implements PeerReachability.Listener {
    @Override
    public void peerLost(PeerAddress peer) {
      runs.onPeerLost();
    }

    @Override
    public void lostTouch() {
      log.write(
          GatewayEvent.PEERS_UNREACHABLE,
          "probed",
          reachability.probed(),
          "unreachable",
          logged(reachability.unreachable()));
      table.showRunning(KEEP_ROW_NANOS);
    }

    @Override
    public void regainedTouch(long awayNanos) {
      table.read();
      log.write(
          GatewayEvent.PEERS_REACHABLE,
          "away_ms",
          awayNanos / NANOS_PER_MILLI,
          "unreachable",
          logged(reachability.unreachable()));
    }

    @Override
    public void digestReceived(PeerAddress peer, long digestOfPeer, boolean returned) {
      exchange.compare(peer, digestOfPeer, digest.value(), returned);
    }
  }

  /** Adopts what the unresolved runs of this node show. */
  private final class RunListener implements RunTracker.Listener {
    @Override
    public void engineEnded(
        EngineIncarnation engine, long endedNanos, List<RequestFingerprint> requests) {
      onObserved(engine, endedNanos, requests);
    }

    @Override
    public void exposureGrew(RequestFingerprint request) {
      guard(request);
    }

    @Override
    public void runSent() {
      if (earlierLoss.mayRepeat()) {
        keepRunsInProgress();
      }
    }

    @Override
    public void runResolved() {
      table.changedWithin(unguardedWriteMillis());
    }

    @Override
    public void guardedRunChanged() {
      if (!reachability.fullyInTouch()) {
        table.changedUrgently();
      }
    }

    @Override
    public void awaitSharing(Runnable done) {
      if (!reachability.missesNotices()) {
        done.run();
        return;
      }
      AtomicBoolean called = new AtomicBoolean();
      Runnable once =
          () -> {
            if (called.compareAndSet(false, true)) {
              done.run();
            }
          };
      table.confirm().onFinished(once);
      eventLoop.schedule(MAX_SHARING_MILLIS, once);
    }
  }

  /** Writes the runs in progress at once, or as soon as all nodes together may. */
  private void keepRunsInProgress() {
    long now = eventLoop.nanoTime();
    if (keptNanos - now > 0) {
      // A write that is scheduled will have all runs in progress.
      return;
    }
    long pauseNanos = peers.peers().size() * KEEP_NANOS_OF_NODE;
    keptNanos = Math.max(keptNanos + pauseNanos, now);
    table.changedWithin((keptNanos - now) / NANOS_PER_MILLI);
  }

  /** Reads the evidence that the store has. */
  public void start() {
    peers.onRead(earlierLoss::start);
    table.load();
    reachability.start();
    eventLoop.schedule(SHOW_RUNNING_MILLIS, this::showRunning);
    awaitEvidenceUntilNanos = eventLoop.nanoTime() + MAX_LOAD_NANOS;
    awaitsEvidence = true;
  }

  private void showRunning() {
    if (!reachability.unreachable().isEmpty()) {
      table.showRunning(KEEP_ROW_NANOS);
      table.read();
    }
    eventLoop.schedule(SHOW_RUNNING_MILLIS, this::showRunning);
  }

  /**
   * Whether the rows of the store or the answers of peers, which may have evidence against any
   * request, are awaited.
   */
  private boolean awaitsEvidence() {
    awaitsEvidence &=
        (!table.loaded() || peers.awaitsAnswers() || runs.awaitsReplies())
            && eventLoop.nanoTime() - awaitEvidenceUntilNanos < 0;
    return awaitsEvidence;
  }

  /** Returns the number of requests that are suspected at present. */
  public long suspects() {
    return assessment().suspects().size();
  }

  /** Returns how many notices to peers were not sent because of their limit. */
  public long noticesDropped() {
    return notifier.noticesDropped() + runNotifier.noticesDropped();
  }

  private BlameAssessment assessment() {
    return history.assessment(eventLoop.nanoTime());
  }

  @Override
  public boolean isSuspectHead(IntSupplier head) {
    if (awaitsEvidence() || !reachability.inTouch()) {
      return true;
    }
    if (suspectHeads.isEmpty() && !ledger.hasHeads()) {
      return false;
    }
    int value = head.getAsInt();
    return suspectHeads.contains(value) || ledger.hasHead(value);
  }

  @Override
  public Verdict verdict(RequestFingerprint request) {
    Verdict found = evidence(request);
    boolean held = found.sendable() && exposure.exhausted(request, eventLoop.nanoTime());
    return held ? Verdict.HELD : found;
  }

  /** Returns what the ends of engines alone say of a request. */
  private Verdict evidence(RequestFingerprint request) {
    if (awaitsEvidence()) {
      return Verdict.UNDECIDED;
    }
    BlameAssessment assessment = assessment();
    if (assessment.blame(request) == 0) {
      return Verdict.CLEAR;
    }
    if (!assessment.isFatal(request)) {
      return Verdict.SUSPECT;
    }
    long sinceNanos = eventLoop.nanoTime() - assessment.lastEndedNanos(request);
    long undecidedNanos = assessment.isBlamedOnce(request) ? SIMULTANEOUS_ENDS_NANOS : SETTLE_NANOS;
    return sinceNanos < undecidedNanos ? Verdict.UNDECIDED : Verdict.FATAL;
  }

  @Override
  public long retryMillis(RequestFingerprint request) {
    return exposure.retryMillis(request, eventLoop.nanoTime());
  }

  @Override
  public EngineRun newRun(RequestFingerprint.Builder work) {
    return runs.newRun(work);
  }

  @Override
  public List<String> preferredEngines(RequestFingerprint suspect, String service) {
    return placement.preferredEngines(suspect, engines.ofService(service), assessment());
  }

  @Override
  public void connectionLost(Engine engine, RequestFingerprint request, Runnable decided) {
    detector.connectionLost(engine, request, liveness -> decided.run());
  }

  private void onObserved(
      EngineIncarnation engine, long endedNanos, List<RequestFingerprint> requests) {
    add(engine, endedNanos, requests, Source.OBSERVED);
    notifier.sendEnd(engine, endedNanos, requests);
    table.addOwn(engine, endedNanos, requests);
    if (reachability.missesNotices()) {
      table.changedUrgently();
    }
  }

  private void add(
      EngineIncarnation engine, long endedNanos, List<RequestFingerprint> requests, Source source) {
    long now = eventLoop.nanoTime();
    List<RequestFingerprint> all = new ArrayList<>(requests);
    all.addAll(runs.requestsOfPeers(engine));
    boolean changed = history.add(engine, endedNanos, all, now);
    if (history.find(engine) != null) {
      runs.onEndRecorded(engine);
    }
    if (!changed) {
      return;
    }
    log.write(
        GatewayEvent.ENGINE_ENDED,
        "engine",
        engine.id().value(),
        "source",
        source.name().toLowerCase(Locale.ROOT),
        "age_ms",
        (now - endedNanos) / NANOS_PER_MILLI,
        "requests",
        all.size(),
        "work",
        logged(all));
    onEvidenceChanged();
    all.forEach(this::guard);
    runs.engineEnded(engine, endedNanos);
  }

  /** Shares what this node knows of a request, if it is guarded from now on. */
  private void guard(RequestFingerprint request) {
    boolean guarded = exposure.guarded(request, eventLoop.nanoTime());
    if (guarded) {
      runs.announceOpen(request);
    }
    if (!ledger.hasUnresolved(request)) {
      return;
    }
    if (reachability.missesNotices()) {
      table.changedUrgently();
    } else {
      table.changedWithin(guarded ? GUARDED_WRITE_MILLIS : unguardedWriteMillis());
    }
  }

  /** All nodes together write a limited number of rows for requests that are not guarded. */
  private long unguardedWriteMillis() {
    return Math.max(MIN_WRITE_MILLIS, peers.peers().size() * WRITE_MILLIS_OF_NODE);
  }

  /** Sends all evidence to a peer that does not know the same. */
  private void sendEvidenceTo(PeerAddress peer) {
    long now = eventLoop.nanoTime();
    log.write(GatewayEvent.EVIDENCE_SENT, "peer", peer, "ends", history.ends().size());
    history
        .running(MAX_PASSED_ON, now)
        .forEach(one -> notifier.sendWithdrawalTo(peer, one.subject(), one.nanos()));
    history
        .completed(MAX_PASSED_ON, now)
        .forEach(one -> notifier.sendClearanceTo(peer, one.subject(), one.nanos()));
    sendEndsTo(peer);
    runs.sendRunsTo(peer);
  }

  /** Sends what this node knows of ends, since the nodes that observed them may be gone. */
  private void sendEndsTo(PeerAddress peer) {
    for (EngineEnd end : history.latest(MAX_PASSED_ON)) {
      notifier.sendEndTo(
          peer, end.engine(), end.endedNanos(), end.requests(EngineEndCodec.MAX_REQUESTS));
    }
  }

  /** Handles that an engine has ended, according to a peer or to its new entry. */
  private void onEndReported(EngineIncarnation engine, long endedNanos) {
    detector.endReported(engine);
    runs.engineEnded(engine, endedNanos);
  }

  private static <T> List<T> logged(List<T> values) {
    return values.subList(0, Math.min(values.size(), MAX_LOGGED));
  }

  private void onEvidenceChanged() {
    BlameAssessment assessment = assessment();
    suspectHeads.clear();
    assessment.suspects().forEach(suspect -> suspectHeads.add(suspect.head()));
    reported.retainAll(assessment.fatal());
    boolean found = false;
    for (RequestFingerprint request : assessment.fatal()) {
      if (reported.add(request)) {
        found = true;
        log.write(
            GatewayEvent.REQUEST_FATAL,
            "work",
            request,
            "blame",
            assessment.blame(request),
            "alone",
            assessment.blameAlone(request),
            "engines",
            logged(history.enginesThatRan(request)));
      }
    }
    if (found) {
      notifyListenersAfter(SETTLE_NANOS);
      notifyListenersAfter(SIMULTANEOUS_ENDS_NANOS);
    }
  }

  private void notifyListenersAfter(long nanos) {
    eventLoop.schedule(nanos / NANOS_PER_MILLI + 1, () -> listeners.forEach(Runnable::run));
  }

  @Override
  public void responded(Engine engine, long sentNanos) {
    runs.responded(engine, sentNanos);
    if (history.isEmpty()) {
      return;
    }
    EngineIncarnation incarnation = EngineIncarnation.of(engine.record());
    EngineEnd end = history.find(incarnation);
    if (end != null && sentNanos - end.endedNanos() > CLOCK_TOLERANCE_NANOS) {
      notifier.sendWithdrawal(incarnation);
      withdraw(incarnation, eventLoop.nanoTime());
    }
  }

  private void withdraw(EngineIncarnation engine, long respondedNanos) {
    if (history.withdraw(engine, respondedNanos)) {
      table.withdraw(engine);
      log.write(GatewayEvent.ENGINE_END_WITHDRAWN, "engine", engine.id().value());
      onEvidenceChanged();
    }
  }

  @Override
  public void completed(RequestFingerprint suspect) {
    if (clear(suspect, eventLoop.nanoTime())) {
      notifier.sendClearance(suspect);
    }
  }

  private boolean clear(RequestFingerprint request, long completedNanos) {
    int blame = assessment().blame(request);
    boolean wasExposed = ledger.clear(request, completedNanos);
    boolean cleared = history.clear(request, completedNanos) || wasExposed;
    if (cleared) {
      log.write(GatewayEvent.REQUEST_CLEARED, "work", request, "blame", blame);
      onEvidenceChanged();
    }
    return cleared;
  }

  @Override
  public void onFatalRequest(Runnable listener) {
    listeners.add(listener);
  }

  private long nanosAgo(long millis) {
    return eventLoop.nanoTime() - millis * NANOS_PER_MILLI;
  }

  @Override
  public void onMessage(PeerAddress sender, PeerMessage message) {
    if (message instanceof PeerMessage.EngineEndNotice notice) {
      long endedNanos = nanosAgo(notice.ageMillis());
      add(notice.engine(), endedNanos, notice.requests(), Source.PEER);
      onEndReported(notice.engine(), endedNanos);
    } else if (message instanceof PeerMessage.EngineEndWithdrawal withdrawal) {
      withdraw(withdrawal.engine(), nanosAgo(withdrawal.ageMillis()));
    } else if (message instanceof PeerMessage.RequestClearance clearance) {
      long completedNanos = nanosAgo(clearance.ageMillis());
      clearance.requests().forEach(request -> clear(request, completedNanos));
    } else if (message instanceof PeerMessage.EngineRunNotice notice) {
      if (notice.runId() == EarlierLoss.NO_RUN) {
        earlierLoss.onReply(notice.ageMillis());
        reachability.onQueryReply(sender);
      } else {
        runs.onNotice(sender, notice);
      }
    } else if (message instanceof PeerMessage.EngineRunQuery query) {
      runs.onQuery(sender, query);
    } else if (message instanceof PeerMessage.ReachabilityProbe probe) {
      reachability.onProbe(sender, probe);
    } else if (message instanceof PeerMessage.ReachabilityReply reply) {
      reachability.onReply(sender, reply);
    } else if (message instanceof PeerMessage.NodeAnnouncement) {
      runs.onPeerStarted(sender);
      sendEndsTo(sender);
    }
  }
}
