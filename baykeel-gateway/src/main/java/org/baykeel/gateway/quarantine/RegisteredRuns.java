package org.baykeel.gateway.quarantine;

import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.baykeel.gateway.peer.PeerAddress;
import org.baykeel.gateway.peer.RunPhase;
import org.baykeel.gateway.program.RequestFingerprint;
import org.baykeel.gateway.runtime.EventLoop;

/**
 * The runs in progress that other nodes registered at this one, so that they are known although the
 * node that began them ends together with its engine. That node, the <i>holder</i>, is asked about
 * a run when the same request is sent again, when its engine has ended, when the holder itself has
 * started again, and when the run's deadline is over. If it sends nothing, or replies that it does
 * not follow the run, the run is orphaned.
 *
 * <p>Nothing is asked while runs end before the same request is sent again.
 */
final class RegisteredRuns {
  /** The query is repeated after these times, since datagrams may be lost. */
  private static final long[] REPEAT_MILLIS = {4, 8, 12};

  /** A holder in the same region replies within this time. */
  private static final long REPLY_MILLIS = 16;

  /**
   * The event loop reads what arrived until then within this time, even if it lagged: timers that
   * are due run before datagrams are read.
   */
  private static final long READ_MILLIS = 4;

  /**
   * A holder tells within this time after the deadline what became of a run. Of the nodes that know
   * a run of a guarded request, each asks so much later than the one before.
   */
  private static final long OVERDUE_NANOS = 500_000_000L;

  private static final long SWEEP_MILLIS = 500;
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** A holder is not asked again about a run within this time. */
  private static final long PAUSE_NANOS = 100_000_000L;

  /** How often a holder that sends something, but no reply, is asked in a row. */
  private static final int MAX_ROUNDS = 3;

  /** The most runs of a request about which their holders are asked at once. */
  private static final int MAX_ASKED = 4;

  private final RunLedger ledger;
  private final RunRegistrars registrars;
  private final PeerResponsiveness responsiveness;
  private final RunNotifier notifier;
  private final EventLoop eventLoop;
  private final Listener listener;
  private final Map<Long, Registration> registrations = new HashMap<>();
  private boolean sweepScheduled;
  private long repliesAwaitedUntilNanos;

  /** Receives the runs whose nodes do not respond any more. */
  @FunctionalInterface
  interface Listener {
    /**
     * Called when the holder of a run in progress has not replied.
     *
     * @param holder the node that began the run
     */
    void runOrphaned(PeerRun run, PeerAddress holder);
  }

  /** A run in progress of another node. */
  private final class Registration {
    private final PeerAddress holder;
    private final int rank;
    private boolean asked;
    private int questions;
    private int rounds;
    private long askedNanos;

    Registration(PeerAddress holder, int rank) {
      this.holder = holder;
      this.rank = rank;
    }

    /** Whether this node asks when the request is sent again, as a registrar does. */
    private boolean ofRegistrar() {
      return rank < RunRegistrars.REGISTRARS;
    }

    private boolean overdue(PeerRun run, long nowNanos) {
      return nowNanos - run.deadlineNanos() >= OVERDUE_NANOS * (rank + 1);
    }

    private boolean askedBefore(long nowNanos) {
      return asked || questions > 0 && nowNanos - askedNanos < PAUSE_NANOS;
    }

    private void ask(PeerRun run) {
      if (asked || !notifier.query(holder, run.id())) {
        return;
      }
      asked = true;
      askedNanos = eventLoop.nanoTime();
      questions++;
      int question = questions;
      for (long millis : REPEAT_MILLIS) {
        eventLoop.schedule(millis, () -> askAgain(run, question));
      }
      eventLoop.schedule(
          REPLY_MILLIS, () -> eventLoop.schedule(READ_MILLIS, () -> conclude(run.id(), question)));
    }

    private boolean awaitsReply(int question) {
      return asked && question == questions;
    }

    private void askAgain(PeerRun run, int question) {
      if (awaitsReply(question)) {
        notifier.query(holder, run.id());
      }
    }

    private void conclude(long runId, int question) {
      PeerRun run = ledger.findPeerRun(runId, eventLoop.nanoTime());
      if (run == null || run.phase() != RunPhase.OPEN || !awaitsReply(question)) {
        return;
      }
      if (!responsiveness.heardSince(holder, askedNanos)) {
        orphan(run);
        return;
      }
      // The holder may have ended after it sent that, and before it read the query.
      asked = false;
      rounds++;
      if (rounds < MAX_ROUNDS) {
        ask(run);
      }
    }

    private void replied() {
      asked = false;
      rounds = 0;
    }

    private void orphan(PeerRun run) {
      if (registrations.remove(run.id(), this)) {
        listener.runOrphaned(run, holder);
      }
    }
  }

  RegisteredRuns(
      RunLedger ledger,
      RunRegistrars registrars,
      PeerResponsiveness responsiveness,
      RunNotifier notifier,
      EventLoop eventLoop,
      Listener listener) {
    this.ledger = ledger;
    this.registrars = registrars;
    this.responsiveness = responsiveness;
    this.notifier = notifier;
    this.eventLoop = eventLoop;
    this.listener = listener;
    this.repliesAwaitedUntilNanos = eventLoop.nanoTime();
  }

  // Runs of this node.

  /** Registers a run of this node that has just been sent. */
  void register(TrackedRun run) {
    run.markRegistered();
    for (PeerAddress registrar : registrars.of(run.request())) {
      notifier.register(registrar, run);
      if (responsiveness.beginQuery(registrar)) {
        notifier.query(registrar, run.id());
      }
    }
  }

  /**
   * Registers the runs in progress of this node once more, since a peer that may be one of their
   * registrars is lost or has started again.
   */
  void registerAgain() {
    for (TrackedRun run : ledger.inProgress()) {
      if (run.registered()) {
        register(run);
      }
    }
  }

  /**
   * Tells the registrars of a run that it is closed.
   *
   * @param phase whether it was completed
   */
  void close(TrackedRun run, RunPhase phase) {
    for (PeerAddress registrar : registrars.of(run.request())) {
      notifier.sendPhase(registrar, run.id(), phase);
    }
  }

  // Runs of other nodes.

  /**
   * Handles a notice, after the ledger has it.
   *
   * @param guarded whether the notice was sent to all nodes, since its request is guarded
   */
  void onNotice(PeerAddress sender, PeerRun run, boolean guarded) {
    if (run.phase() != RunPhase.OPEN) {
      registrations.remove(run.id());
    } else if (registrations.containsKey(run.id())) {
      registrations.get(run.id()).replied();
    } else {
      int rank = guarded ? registrars.rankOfSelf(run.request(), sender) : 0;
      registrations.put(run.id(), new Registration(sender, rank));
      askOthers(run.request(), run.id());
      scheduleSweep();
    }
    if (run.phase() == RunPhase.CLAIMED) {
      tellRegistered(sender, run.request());
      askOthers(run.request(), run.id());
    }
  }

  /**
   * Handles that a run was completed, before the ledger has it: engines need not be guarded from
   * its request, so its other runs are asked about no more.
   */
  void onCompleted(long runId) {
    long now = eventLoop.nanoTime();
    PeerRun completed = ledger.findPeerRun(runId, now);
    if (completed != null) {
      ledger.peerRunsOf(completed.request(), now).forEach(run -> registrations.remove(run.id()));
    }
  }

  /** Handles the reply of a node that it does not follow a run: it has started since. */
  void onNotFollowed(PeerAddress sender, long runId) {
    Registration registration = registrations.get(runId);
    PeerRun run = ledger.findPeerRun(runId, eventLoop.nanoTime());
    boolean open = run != null && run.phase() == RunPhase.OPEN;
    if (open && registration != null && registration.asked && registration.holder.equals(sender)) {
      registration.orphan(run);
    }
  }

  /** Handles that a node has started: its earlier incarnation follows no run any more. */
  void onPeerStarted(PeerAddress peer) {
    long now = eventLoop.nanoTime();
    for (Map.Entry<Long, Registration> entry : List.copyOf(registrations.entrySet())) {
      PeerRun run = ledger.findPeerRun(entry.getKey(), now);
      boolean ofPeer = entry.getValue().holder.equals(peer) && entry.getValue().ofRegistrar();
      if (ofPeer && run != null && run.phase() == RunPhase.OPEN) {
        entry.getValue().ask(run);
      }
    }
  }

  /**
   * Handles that the store has a run in progress, when this node starts.
   *
   * @param holder the node that began it; empty if it is an earlier incarnation of this one, or one
   *     whose address is not known
   */
  void onStored(PeerRun run, Optional<PeerAddress> holder) {
    if (holder.isEmpty()) {
      listener.runOrphaned(run, registrars.self());
      return;
    }
    registrations.put(run.id(), new Registration(holder.get(), 0));
    registrations.get(run.id()).ask(run);
    repliesAwaitedUntilNanos =
        eventLoop.nanoTime() + (REPLY_MILLIS + READ_MILLIS + 1) * NANOS_PER_MILLI;
    scheduleSweep();
  }

  /** Returns whether a run is in progress and this node is one of its registrars. */
  boolean contains(PeerRun run) {
    Registration registration = registrations.get(run.id());
    return registration != null && registration.ofRegistrar() && run.phase() == RunPhase.OPEN;
  }

  /** Asks the holder of a run that is registered here what became of it. */
  void ask(PeerRun run) {
    registrations.get(run.id()).ask(run);
  }

  /** Returns whether replies about runs that the store has are awaited. */
  boolean awaitsReplies() {
    return eventLoop.nanoTime() - repliesAwaitedUntilNanos < 0;
  }

  /** Handles that this node is about to send, or has sent, a request. */
  void onOwnRun(RequestFingerprint request) {
    askOthers(request, 0);
  }

  /**
   * A further run of a request may be a caller's next try, after the node of the first was lost.
   */
  private void askOthers(RequestFingerprint request, long runId) {
    if (registrations.isEmpty()) {
      return;
    }
    long now = eventLoop.nanoTime();
    int askedRuns = 0;
    for (PeerRun run : ledger.peerRunsOf(request, now)) {
      Registration registration = registrations.get(run.id());
      boolean asks = registration != null && registration.ofRegistrar();
      boolean open = run.phase() == RunPhase.OPEN && run.id() != runId;
      if (asks && open && askedRuns < MAX_ASKED && !registration.askedBefore(now)) {
        askedRuns++;
        registration.ask(run);
      }
    }
  }

  /** Tells a node that claims a send of the runs that it need not know. */
  private void tellRegistered(PeerAddress claimer, RequestFingerprint request) {
    for (PeerRun run : ledger.peerRunsOf(request, eventLoop.nanoTime())) {
      Registration registration = registrations.get(run.id());
      boolean tells = registration != null && registration.ofRegistrar();
      if (tells && !registration.holder.equals(claimer)) {
        notifier.sendTo(claimer, run);
      }
    }
  }

  private void scheduleSweep() {
    if (!sweepScheduled) {
      sweepScheduled = true;
      eventLoop.schedule(SWEEP_MILLIS, this::sweep);
    }
  }

  private void sweep() {
    sweepScheduled = false;
    long now = eventLoop.nanoTime();
    Iterator<Map.Entry<Long, Registration>> entries = registrations.entrySet().iterator();
    while (entries.hasNext()) {
      Map.Entry<Long, Registration> entry = entries.next();
      PeerRun run = ledger.findPeerRun(entry.getKey(), now);
      if (run == null || run.phase() != RunPhase.OPEN) {
        entries.remove();
      } else if (entry.getValue().overdue(run, now)) {
        entry.getValue().ask(run);
      }
    }
    if (!registrations.isEmpty()) {
      scheduleSweep();
    }
  }
}
