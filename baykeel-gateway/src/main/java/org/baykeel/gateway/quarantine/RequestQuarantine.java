package org.baykeel.gateway.quarantine;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
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
 * and no completed run of it is known; while each run of a request ends with a whole response or
 * the engine's statement that it did not run it, nothing is sent, stored or hashed.
 */
public final class RequestQuarantine implements Quarantine, PeerMessageListener {
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
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** All nodes together write at most 200 rows a second with runs in progress. */
  private static final long KEEP_NANOS_OF_NODE = 5_000_000L;

  /** The most ends that are passed on to a peer that has started. */
  private static final int MAX_PASSED_ON = 32;

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
    this.exposure = new RequestExposure(history, ledger, earlierLoss::unseenEnds);
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
            peers,
            engines,
            eventLoop,
            log,
            new RunListener());
    engines.onRestart(
        (engine, startBefore, startNow, source) ->
            onEndReported(new EngineIncarnation(engine, startBefore), eventLoop.nanoTime()));
    engines.onRemoval(runs::engineRemoved);
    this.table =
        new EngineEndTable(
            nodeName,
            store,
            storeClock,
            codec,
            eventLoop,
            log,
            () -> runs.noticesToKeep(earlierLoss.mayRepeat()),
            new TableListener());
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
    awaitEvidenceUntilNanos = eventLoop.nanoTime() + MAX_LOAD_NANOS;
    awaitsEvidence = true;
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
    if (awaitsEvidence()) {
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
    if (runs.hasUnresolved(request)) {
      table.changedWithin(guarded ? GUARDED_WRITE_MILLIS : unguardedWriteMillis());
    }
  }

  /** All nodes together write a limited number of rows for requests that are not guarded. */
  private long unguardedWriteMillis() {
    return Math.max(MIN_WRITE_MILLIS, peers.peers().size() * WRITE_MILLIS_OF_NODE);
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
      withdraw(incarnation);
    }
  }

  private void withdraw(EngineIncarnation engine) {
    table.withdraw(engine);
    if (history.withdraw(engine, eventLoop.nanoTime())) {
      log.write(GatewayEvent.ENGINE_END_WITHDRAWN, "engine", engine.id().value());
      onEvidenceChanged();
    }
  }

  @Override
  public void completed(RequestFingerprint suspect) {
    if (clear(suspect)) {
      notifier.sendClearance(suspect);
    }
  }

  private boolean clear(RequestFingerprint request) {
    int blame = assessment().blame(request);
    boolean wasExposed = ledger.clear(request);
    boolean cleared = history.clear(request, eventLoop.nanoTime()) || wasExposed;
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

  @Override
  public void onMessage(PeerAddress sender, PeerMessage message) {
    if (message instanceof PeerMessage.EngineEndNotice notice) {
      long endedNanos = eventLoop.nanoTime() - notice.ageMillis() * NANOS_PER_MILLI;
      add(notice.engine(), endedNanos, notice.requests(), Source.PEER);
      onEndReported(notice.engine(), endedNanos);
    } else if (message instanceof PeerMessage.EngineEndWithdrawal withdrawal) {
      withdraw(withdrawal.engine());
    } else if (message instanceof PeerMessage.RequestClearance clearance) {
      clearance.requests().forEach(this::clear);
    } else if (message instanceof PeerMessage.EngineRunNotice notice) {
      if (notice.runId() == EarlierLoss.NO_RUN) {
        earlierLoss.onReply(notice.ageMillis());
      } else {
        runs.onNotice(sender, notice);
      }
    } else if (message instanceof PeerMessage.EngineRunQuery query) {
      runs.onQuery(sender, query);
    } else if (message instanceof PeerMessage.NodeAnnouncement) {
      runs.onPeerStarted(sender);
      sendEndsTo(sender);
    }
  }
}
