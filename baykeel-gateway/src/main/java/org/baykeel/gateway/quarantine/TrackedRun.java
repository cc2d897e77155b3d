package org.baykeel.gateway.quarantine;

import org.baykeel.gateway.directory.Engine;
import org.baykeel.gateway.directory.EngineIncarnation;
import org.baykeel.gateway.peer.RunPhase;
import org.baykeel.gateway.program.RequestFingerprint;

/** The state of a run that this node began. */
final class TrackedRun {
  private final long id;
  private RequestFingerprint.Builder work;
  private RequestFingerprint request;
  private int head;
  private boolean headKnown;
  private long startedNanos;
  private Engine engine;
  private RunPhase phase = RunPhase.CLAIMED;
  private long deadlineNanos;
  private long provableNanos;
  private boolean connectionLost;
  private boolean announced;
  private boolean registered;
  private boolean orphaned;
  private boolean vanished;
  private boolean leftByPlan;

  TrackedRun(long id, RequestFingerprint.Builder work, long nowNanos) {
    this.id = id;
    this.work = work;
    this.startedNanos = nowNanos;
  }

  /** Creates a run of a request whose fingerprint is known. */
  TrackedRun(long id, RequestFingerprint request, long nowNanos) {
    this.id = id;
    this.request = request;
    this.startedNanos = nowNanos;
  }

  /**
   * Creates the run of another node that does not respond any more, which this node follows from
   * now on.
   */
  static TrackedRun orphaned(PeerRun run, Engine engine) {
    TrackedRun orphaned = new TrackedRun(run.id(), run.request(), run.startedNanos());
    orphaned.sent(engine, run.deadlineNanos(), run.startedNanos());
    orphaned.orphaned = true;
    return orphaned;
  }

  /** Identifies the run among those of all nodes. */
  long id() {
    return id;
  }

  /** Returns the head of the request's fingerprint. */
  int head() {
    if (!headKnown) {
      headKnown = true;
      head = request == null ? work.head() : request.head();
    }
    return head;
  }

  RequestFingerprint request() {
    if (request == null) {
      request = work.build();
      work = null;
    }
    return request;
  }

  /** Returns whether the run is one of a request. */
  boolean isOf(RequestFingerprint other) {
    return head() == other.head() && request().equals(other);
  }

  /** Returns when the request was sent, or when the run was created if it was not sent yet. */
  long startedNanos() {
    return startedNanos;
  }

  /** Returns the engine, or null if the request was not sent yet. */
  Engine engine() {
    return engine;
  }

  EngineIncarnation incarnation() {
    return engine == null ? EngineIncarnation.NONE : EngineIncarnation.of(engine.record());
  }

  RunPhase phase() {
    return phase;
  }

  void sent(Engine newEngine, long newDeadlineNanos, long nowNanos) {
    engine = newEngine;
    startedNanos = nowNanos;
    phase = RunPhase.OPEN;
    deadlineNanos = newDeadlineNanos;
  }

  void phase(RunPhase newPhase) {
    phase = newPhase;
  }

  /** Returns until when the engine was asked to run the request, by the event loop's clock. */
  long deadlineNanos() {
    return deadlineNanos;
  }

  /**
   * Returns from when a response of the engine to another request proves that it no longer runs
   * this one, by the event loop's clock.
   */
  long provableNanos() {
    return provableNanos;
  }

  /**
   * Sets from when the run is provable.
   *
   * @param afterLostConnection whether the engine's connection was lost at that time, so that the
   *     engine ended then if it did
   */
  void provableFrom(long nanos, boolean afterLostConnection) {
    provableNanos = nanos;
    connectionLost = afterLostConnection;
  }

  /** Returns when the engine ended, if that is found at a given time. */
  long endedNanos(long foundNanos) {
    return connectionLost ? provableNanos : foundNanos;
  }

  /** Whether peers were notified of the run. */
  boolean announced() {
    return announced;
  }

  void markAnnounced() {
    announced = true;
  }

  /** Whether the run was announced to its registrars only. */
  boolean registered() {
    return registered;
  }

  void markRegistered() {
    registered = true;
  }

  /** Whether another node began the run. */
  boolean orphaned() {
    return orphaned;
  }

  /** Records that no response is awaited any more. */
  void markUnresolved() {
    phase = orphaned ? RunPhase.ORPHANED : RunPhase.UNRESOLVED;
  }

  /** Whether the engine's entry is gone and it gave no answer since. */
  boolean vanished() {
    return vanished;
  }

  void markVanished() {
    vanished = true;
  }

  /** Whether the engine responded after its entry had gone, so that it leaves by plan. */
  boolean leftByPlan() {
    return leftByPlan;
  }

  void markLeftByPlan() {
    leftByPlan = true;
  }

  /** Whether the engine gets no new work, so that its end may be planned. */
  boolean atDrainingEngine() {
    return engine.record().draining();
  }
}
