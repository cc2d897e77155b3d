package org.baykeel.gateway.quarantine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;
import org.baykeel.gateway.directory.Engine;
import org.baykeel.gateway.directory.EngineIncarnation;
import org.baykeel.gateway.program.RequestFingerprint;
import org.baykeel.gateway.runtime.EventLoop;
import org.baykeel.gateway.telemetry.GatewayEvent;
import org.baykeel.gateway.telemetry.GatewayLog;

/**
 * Detects that the process of an engine has ended, as opposed to a connection that was reset or
 * became silent. One check covers all requests that lose their connections to an engine before it
 * begins; a result that is older than a lost connection says nothing about it.
 *
 * <p>An engine that was about to leave by plan, or one that does not respond at all, gives no
 * evidence against the requests that it ran: its machine or the network to it may have failed.
 */
final class EngineEndDetector {
  /**
   * The longest time for which a lost request waits for the result of a check. A result takes one
   * round trip, and longer only on a node that is short of processor time.
   */
  private static final long MAX_WAIT_MILLIS = 500;

  /** After this time an engine is checked again if connections to it seemed to be open. */
  private static final long CONFIRMATION_MILLIS = 50;

  /** After this time an engine is checked again if the result may change. */
  private static final long RETRY_MILLIS = 250;

  private static final int MAX_CONNECTED_CHECKS = 2;
  private static final int MAX_UNKNOWN_CHECKS = 6;

  /** An engine that is just ending may close some connections before it ceases to respond. */
  private static final int MAX_RUNNING_CHECKS = 2;

  private static final int MAX_REQUESTS = 256;

  /** For so long it may turn out that an engine has ended that seemed to run. */
  private static final long REPORT_MILLIS = 2_000;

  /** Receives the engines that have ended. */
  interface Listener {
    /**
     * Called when an engine has ended.
     *
     * @param endedNanos when the first connection to it was lost, by the event loop's clock
     * @param requests the requests of this node that it was running
     */
    void engineEnded(Engine engine, long endedNanos, List<RequestFingerprint> requests);
  }

  private final EngineLivenessCheck livenessCheck;
  private final EventLoop eventLoop;
  private final GatewayLog log;
  private final Listener listener;

  /** The checks that have not begun yet. */
  private final Map<Engine, Check> nextChecks = new HashMap<>();

  private final Map<EngineIncarnation, Check> seemedToRun = new HashMap<>();

  /** The check of one engine, from a lost connection to a conclusion. */
  private final class Check {
    private final Engine engine;
    private final long lostNanos = eventLoop.nanoTime();
    private final List<RequestFingerprint> requests = new ArrayList<>();
    private final List<Consumer<EngineLiveness>> waiting = new ArrayList<>();
    private int checks;

    Check(Engine engine) {
      this.engine = engine;
    }

    void schedule() {
      eventLoop.schedule(0, this::begin);
      eventLoop.schedule(MAX_WAIT_MILLIS, () -> release(EngineLiveness.UNKNOWN));
    }

    private void begin() {
      nextChecks.remove(engine, this);
      checks++;
      livenessCheck.check(engine, this::onFirstResult);
    }

    private void onFirstResult(EngineLiveness liveness) {
      onResult(liveness);
      release(liveness);
    }

    private void onResult(EngineLiveness liveness) {
      log.write(
          GatewayEvent.ENGINE_CHECKED,
          "engine",
          engine.record().id(),
          "state",
          liveness.name().toLowerCase(Locale.ROOT),
          "requests",
          requests.size(),
          "ms",
          (eventLoop.nanoTime() - lostNanos) / 1_000_000);
      switch (liveness) {
        case ENDED -> onEnded();
        case CONNECTED -> {
          retainForReports();
          repeatAfter(CONFIRMATION_MILLIS, MAX_CONNECTED_CHECKS);
        }
        case CLOSING -> {
          retainForReports();
          repeatAfter(RETRY_MILLIS, MAX_UNKNOWN_CHECKS);
        }
        case UNKNOWN -> repeatAfter(RETRY_MILLIS, MAX_UNKNOWN_CHECKS);
        case RUNNING -> {
          retainForReports();
          repeatAfter(RETRY_MILLIS, MAX_RUNNING_CHECKS);
        }
        case ACCEPTING -> retainForReports();
      }
    }

    private void onEnded() {
      if (!engine.record().draining()) {
        listener.engineEnded(engine, lostNanos, List.copyOf(requests));
      }
    }

    private void retainForReports() {
      EngineIncarnation incarnation = EngineIncarnation.of(engine.record());
      seemedToRun.put(incarnation, this);
      eventLoop.schedule(REPORT_MILLIS, () -> seemedToRun.remove(incarnation, this));
    }

    private void repeatAfter(long millis, int maxChecks) {
      if (checks < maxChecks) {
        eventLoop.schedule(millis, this::repeat);
      }
    }

    private void repeat() {
      checks++;
      livenessCheck.check(engine, this::onResult);
    }

    private void release(EngineLiveness liveness) {
      List<Consumer<EngineLiveness>> released = List.copyOf(waiting);
      waiting.clear();
      released.forEach(decided -> decided.accept(liveness));
    }
  }

  EngineEndDetector(
      EngineLivenessCheck livenessCheck, EventLoop eventLoop, GatewayLog log, Listener listener) {
    this.livenessCheck = livenessCheck;
    this.eventLoop = eventLoop;
    this.log = log;
    this.listener = listener;
  }

  /**
   * Handles that a peer saw an engine end, or that it has restarted, in case it seemed to run when
   * it was checked here.
   */
  void endReported(EngineIncarnation engine) {
    Check check = seemedToRun.remove(engine);
    if (check != null) {
      listener.engineEnded(check.engine, check.lostNanos, List.copyOf(check.requests));
    }
  }

  /**
   * Checks whether an engine has ended, after a connection to it was lost.
   *
   * @param request the request that the engine was running
   * @param decided receives exactly once what a check has found that began after the loss; {@link
   *     EngineLiveness#UNKNOWN} after a time limit, and for an engine that leaves
   */
  void connectionLost(Engine engine, RequestFingerprint request, Consumer<EngineLiveness> decided) {
    if (engine.removed() || engine.record().draining()) {
      decided.accept(EngineLiveness.UNKNOWN);
      return;
    }
    Check check = nextChecks.get(engine);
    boolean first = check == null;
    if (first) {
      check = new Check(engine);
      nextChecks.put(engine, check);
    }
    if (check.requests.size() < MAX_REQUESTS) {
      check.requests.add(request);
    }
    check.waiting.add(decided);
    if (first) {
      check.schedule();
    }
  }
}
