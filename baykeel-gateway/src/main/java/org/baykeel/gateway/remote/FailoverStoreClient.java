package org.baykeel.gateway.remote;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.baykeel.gateway.peer.PeerAddress;
import org.baykeel.gateway.runtime.EventLoop;
import org.baykeel.gateway.telemetry.GatewayEvent;
import org.baykeel.gateway.telemetry.GatewayLog;

/**
 * Calls the store directly while the direct path works, and through a relay node while this node
 * alone is cut off from the store. After repeated failures at relay nodes, when the store is
 * probably unreachable from all nodes, calls fail without being sent. A cheap read probes the
 * direct path at intervals until it works again.
 *
 * <p>Invariant: a call is reported as not sent or as refused only if no copy of it can have been
 * executed. A call may be sent twice, so a change must carry a condition that fails once the change
 * has been applied.
 */
public final class FailoverStoreClient implements StoreClient {
  /** Maximum number of nodes that relay one call. */
  private static final int MAX_RELAYS = 2;

  /** Interval between two probes of a broken direct path. */
  private static final long PROBE_INTERVAL_MILLIS = 250;

  /** A relayed call crosses two network paths, so it counts as overdue later than a direct call. */
  private static final int RELAY_OVERDUE_FACTOR = 2;

  private final StoreClient direct;
  private final RelayTransport relays;
  private final RelaySelector relaySelector;
  private final StoreCall probe;
  private final EventLoop eventLoop;
  private final GatewayLog log;
  private final DirectPathHealth directPath = new DirectPathHealth();
  private Runnable onDirectPathRestored = () -> {};
  private boolean probing;

  /**
   * Creates a client that prefers the direct path.
   *
   * @param direct sends calls on the direct path
   * @param relays sends calls to other nodes
   * @param candidates the nodes that may relay calls
   * @param probe a cheap read that tests the direct path
   * @param random selects relay nodes
   */
  public FailoverStoreClient(
      StoreClient direct,
      RelayTransport relays,
      RelayCandidates candidates,
      StoreCall probe,
      EventLoop eventLoop,
      RandomGenerator random,
      GatewayLog log) {
    this.direct = direct;
    this.relays = relays;
    this.relaySelector = new RelaySelector(candidates, random);
    this.probe = probe;
    this.eventLoop = eventLoop;
    this.log = log;
  }

  /** Sets the action that runs each time the direct path works again. */
  public void onDirectPathRestored(Runnable action) {
    onDirectPathRestored = action;
  }

  @Override
  public void call(StoreCall call, Consumer<StoreReply> callback) {
    new PendingCall(call, callback).start();
  }

  /**
   * Makes a call on behalf of another node, on the direct path only, so that a call is relayed at
   * most once.
   */
  public void callDirectly(StoreCall call, Consumer<StoreReply> callback) {
    if (!directPath.working()) {
      callback.accept(new StoreReply.NotSent("no way to the store"));
      return;
    }
    long sentNanos = eventLoop.nanoTime();
    direct.call(
        call,
        reply -> {
          recordDirectReply(call, reply, sentNanos);
          callback.accept(reply);
        });
  }

  /** Records the outcome of a direct call and returns whether the service accepted the call. */
  private boolean recordDirectReply(StoreCall call, StoreReply reply, long sentNanos) {
    if (!accepted(reply)) {
      if (!longPollEndedEarly(call, reply, sentNanos)) {
        directFailed(reply);
      }
      return false;
    }
    boolean wasWorking = directPath.working();
    if (call.longPoll()) {
      directPath.answered(eventLoop.nanoTime());
    } else {
      long now = eventLoop.nanoTime();
      directPath.answered((now - sentNanos) / 1e6, now);
    }
    if (!wasWorking) {
      log.write(GatewayEvent.STORE_PATH_CHANGED, "path", "direct");
      onDirectPathRestored.run();
    }
    return true;
  }

  /**
   * Whether a long poll was lost before its timeout, as happens when the service discards the
   * history that the poll requested and closes it. Such a loss does not count as a failure of the
   * direct path.
   */
  private boolean longPollEndedEarly(StoreCall call, StoreReply reply, long sentNanos) {
    long millis = (eventLoop.nanoTime() - sentNanos) / 1_000_000;
    return call.longPoll() && reply instanceof StoreReply.Lost && millis < call.timeoutMillis();
  }

  private void directFailed(Object reason) {
    boolean wasWorking = directPath.working();
    directPath.failed(eventLoop.nanoTime());
    if (wasWorking && !directPath.working()) {
      log.write(GatewayEvent.STORE_PATH_CHANGED, "path", "relayed", "reason", reason);
    }
    if (!directPath.working() && !probing) {
      probing = true;
      eventLoop.schedule(0, this::probe);
    }
  }

  private void probe() {
    if (directPath.working()) {
      probing = false;
      return;
    }
    long sentNanos = eventLoop.nanoTime();
    direct.call(probe, reply -> recordDirectReply(probe, reply, sentNanos));
    eventLoop.schedule(PROBE_INTERVAL_MILLIS, this::probe);
  }

  /** Whether the reply is a response of the service, of any status, that is not a refusal. */
  private static boolean accepted(StoreReply reply) {
    return reply instanceof StoreReply.Answered answered && !answered.refused();
  }

  /** A pending call, possibly sent on more than one path at once. */
  private final class PendingCall {
    private final StoreCall call;
    private final Consumer<StoreReply> callback;
    private final List<PeerAddress> triedRelays = new ArrayList<>();
    private boolean done;
    private boolean directOutstanding;
    private int outstanding;
    private EventLoop.Timer overdue;
    private StoreReply failure = new StoreReply.NotSent("no way to the store");

    PendingCall(StoreCall call, Consumer<StoreReply> callback) {
      this.call = call;
      this.callback = callback;
    }

    void start() {
      if (directPath.working()) {
        sendDirectly();
      } else if (!relay()) {
        // The callback must not run before call() returns.
        eventLoop.schedule(0, () -> finish(failure));
      }
    }

    private void sendDirectly() {
      long sentNanos = eventLoop.nanoTime();
      directOutstanding = true;
      outstanding++;
      direct.call(call, reply -> onDirectReply(reply, sentNanos));
      limit(directPath.overdueMillis());
    }

    private void onDirectReply(StoreReply reply, long sentNanos) {
      directOutstanding = false;
      outstanding--;
      if (recordDirectReply(call, reply, sentNanos)) {
        finish(reply);
        return;
      }
      boolean refusedOnWorkingPath = reply instanceof StoreReply.Answered && directPath.working();
      if (!done && triedRelays.isEmpty() && !refusedOnWorkingPath) {
        relay();
      }
      onPathFailed(reply);
    }

    /** Limits the time of the path that was tried last. */
    private void limit(long overdueMillis) {
      cancelLimit();
      overdue = eventLoop.scheduleTimeLimit(call.holdMillis() + overdueMillis, this::onOverdue);
    }

    private void cancelLimit() {
      if (overdue != null) {
        overdue.cancel();
      }
    }

    private void onOverdue() {
      if (!done && triedRelays.size() < MAX_RELAYS) {
        relay();
      }
    }

    /** Sends the call through a relay node; returns false if no node is available. */
    private boolean relay() {
      PeerAddress peer = relaySelector.next(triedRelays, eventLoop.nanoTime());
      if (peer == null) {
        return false;
      }
      triedRelays.add(peer);
      outstanding++;
      relays.call(peer, call, reply -> onRelayReply(peer, reply));
      limit(directPath.overdueMillis() * RELAY_OVERDUE_FACTOR);
      return true;
    }

    private void onRelayReply(PeerAddress peer, StoreReply reply) {
      outstanding--;
      if (!accepted(reply)) {
        relaySelector.failed(peer, eventLoop.nanoTime());
        if (!done && triedRelays.size() < MAX_RELAYS) {
          relay();
        }
        onPathFailed(reply);
        return;
      }
      relaySelector.answered(peer);
      if (directOutstanding && !done) {
        directFailed("a relay answered first");
      }
      finish(reply);
    }

    private void onPathFailed(StoreReply reply) {
      if (!(failure instanceof StoreReply.Lost)) {
        failure = reply;
      }
      if (outstanding == 0) {
        finish(failure);
      }
    }

    private void finish(StoreReply reply) {
      if (!done) {
        done = true;
        cancelLimit();
        callback.accept(reply);
      }
    }
  }
}
