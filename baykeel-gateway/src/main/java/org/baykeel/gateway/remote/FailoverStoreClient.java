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
 * Calls the store directly while that works, through another node while only this node is cut off,
 * and not at all while nobody reaches it; then cheap reads find out when it is back.
 *
 * <p>Invariant: a call is reported as not sent or as turned away only if no copy of it can have
 * been done. A call may be made twice, so a change must carry a condition that its own copy breaks.
 */
public final class FailoverStoreClient implements StoreClient {
  /** Nodes that may be asked to relay one call. */
  private static final int MAX_RELAYS = 2;

  /** Between two reads that find out whether the direct way works again. */
  private static final long PROBE_INTERVAL_MILLIS = 250;

  /** A relayed call takes two ways; it is overdue later than a direct one. */
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
   * Creates a caller that takes the direct way first.
   *
   * @param direct the direct way
   * @param relays the way to other nodes
   * @param candidates the nodes that may relay
   * @param probe a cheap read
   * @param random picks relays
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

  /** Sets what runs each time after the direct way works again. */
  public void onDirectPathRestored(Runnable action) {
    onDirectPathRestored = action;
  }

  @Override
  public void call(StoreCall call, Consumer<StoreReply> callback) {
    new PendingCall(call, callback).start();
  }

  /**
   * Makes a call of another node, by the direct way only, so that calls don't wander between nodes.
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

  /** Returns whether the reply is an answer that counts. */
  private boolean recordDirectReply(StoreCall call, StoreReply reply, long sentNanos) {
    if (!executed(reply)) {
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
   * Whether the service cut a long poll before its time, as it does when it forgets what the poll
   * asked for. That says nothing of the next call.
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

  private static boolean executed(StoreReply reply) {
    return reply instanceof StoreReply.Answered answered && !answered.refused();
  }

  /** One call on its way, possibly by more than one way at once. */
  private final class PendingCall {
    private final StoreCall call;
    private final Consumer<StoreReply> callback;
    private final List<PeerAddress> triedRelays = new ArrayList<>();
    private boolean done;
    private boolean directOutstanding;
    private int outstanding;
    private StoreReply failure = new StoreReply.NotSent("no way to the store");

    PendingCall(StoreCall call, Consumer<StoreReply> callback) {
      this.call = call;
      this.callback = callback;
    }

    void start() {
      if (directPath.working()) {
        sendDirectly();
      } else if (!relay()) {
        // The caller may not be answered before this call returns.
        eventLoop.schedule(0, () -> finish(failure));
      }
    }

    private void sendDirectly() {
      long sentNanos = eventLoop.nanoTime();
      directOutstanding = true;
      outstanding++;
      direct.call(call, reply -> onDirectReply(reply, sentNanos));
      eventLoop.schedule(call.holdMillis() + directPath.overdueMillis(), this::onOverdue);
    }

    private void onDirectReply(StoreReply reply, long sentNanos) {
      directOutstanding = false;
      outstanding--;
      if (recordDirectReply(call, reply, sentNanos)) {
        finish(reply);
        return;
      }
      boolean refusedOnce = reply instanceof StoreReply.Answered && directPath.working();
      if (!done && triedRelays.isEmpty() && !refusedOnce) {
        relay();
      }
      onPathFailed(reply);
    }

    private void onOverdue() {
      if (!done && triedRelays.size() < MAX_RELAYS) {
        relay();
      }
    }

    /** Sends the call through another node; returns false if there is none to ask. */
    private boolean relay() {
      PeerAddress peer = relaySelector.next(triedRelays, eventLoop.nanoTime());
      if (peer == null) {
        return false;
      }
      triedRelays.add(peer);
      outstanding++;
      relays.call(peer, call, reply -> onRelayReply(peer, reply));
      long overdueMillis = directPath.overdueMillis() * RELAY_OVERDUE_FACTOR;
      eventLoop.schedule(call.holdMillis() + overdueMillis, this::onOverdue);
      return true;
    }

    private void onRelayReply(PeerAddress peer, StoreReply reply) {
      outstanding--;
      if (!executed(reply)) {
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
        callback.accept(reply);
      }
    }
  }
}
