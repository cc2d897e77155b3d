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
  private static final long PROBE_MILLIS = 250;

  /** A relayed call takes two ways; it is overdue later than a direct one. */
  private static final int RELAY_OVERDUE_FACTOR = 2;

  private final StoreClient direct;
  private final RelayTransport relays;
  private final RelaySelector relayPeers;
  private final StoreCall probe;
  private final EventLoop eventLoop;
  private final GatewayLog log;
  private final DirectPathHealth directPath = new DirectPathHealth();
  private Runnable onDirectPathBack = () -> {};
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
    this.relayPeers = new RelaySelector(candidates, random);
    this.probe = probe;
    this.eventLoop = eventLoop;
    this.log = log;
  }

  /** Sets what runs each time after the direct way works again. */
  public void onDirectPathBack(Runnable action) {
    onDirectPathBack = action;
  }

  @Override
  public void call(StoreCall call, Consumer<StoreReply> answer) {
    new PendingCall(call, answer).start();
  }

  /**
   * Makes a call of another node, by the direct way only, so that calls don't wander between nodes.
   */
  public void callDirectly(StoreCall call, Consumer<StoreReply> answer) {
    if (!directPath.working()) {
      answer.accept(new StoreReply.NotSent("no way to the store"));
      return;
    }
    long sentNanos = eventLoop.nanoTime();
    direct.call(
        call,
        reply -> {
          noteDirect(call, reply, sentNanos);
          answer.accept(reply);
        });
  }

  /** Returns whether the reply is an answer that counts. */
  private boolean noteDirect(StoreCall call, StoreReply reply, long sentNanos) {
    if (!served(reply)) {
      if (!endedEarly(call, reply, sentNanos)) {
        directFailed(reply);
      }
      return false;
    }
    boolean worked = directPath.working();
    if (call.longPoll()) {
      directPath.answered(eventLoop.nanoTime());
    } else {
      long now = eventLoop.nanoTime();
      directPath.answered((now - sentNanos) / 1e6, now);
    }
    if (!worked) {
      log.write(GatewayEvent.STORE_PATH_CHANGED, "path", "direct");
      onDirectPathBack.run();
    }
    return true;
  }

  /**
   * Whether the service cut a long poll before its time, as it does when it forgets what the poll
   * asked for. That says nothing of the next call.
   */
  private boolean endedEarly(StoreCall call, StoreReply reply, long sentNanos) {
    long millis = (eventLoop.nanoTime() - sentNanos) / 1_000_000;
    return call.longPoll() && reply instanceof StoreReply.Lost && millis < call.timeoutMillis();
  }

  private void directFailed(Object reason) {
    boolean worked = directPath.working();
    directPath.failed(eventLoop.nanoTime());
    if (worked && !directPath.working()) {
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
    direct.call(probe, reply -> noteDirect(probe, reply, sentNanos));
    eventLoop.schedule(PROBE_MILLIS, this::probe);
  }

  private static boolean served(StoreReply reply) {
    return reply instanceof StoreReply.Answered answered && !answered.turnedAway();
  }

  /** One call on its way, possibly by more than one way at once. */
  private final class PendingCall {
    private final StoreCall call;
    private final Consumer<StoreReply> answer;
    private final List<PeerAddress> asked = new ArrayList<>();
    private boolean done;
    private boolean directOutstanding;
    private int outstanding;
    private StoreReply worst = new StoreReply.NotSent("no way to the store");

    PendingCall(StoreCall call, Consumer<StoreReply> answer) {
      this.call = call;
      this.answer = answer;
    }

    void start() {
      if (directPath.working()) {
        sendDirectly();
      } else if (!relay()) {
        // The caller may not be answered before this call returns.
        eventLoop.schedule(0, () -> finish(worst));
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
      if (noteDirect(call, reply, sentNanos)) {
        finish(reply);
        return;
      }
      boolean turnedAwayOnce = reply instanceof StoreReply.Answered && directPath.working();
      if (!done && asked.isEmpty() && !turnedAwayOnce) {
        relay();
      }
      wayFailed(reply);
    }

    private void onOverdue() {
      if (!done && asked.size() < MAX_RELAYS) {
        relay();
      }
    }

    /** Sends the call through another node; returns false if there is none to ask. */
    private boolean relay() {
      PeerAddress peer = relayPeers.next(asked, eventLoop.nanoTime());
      if (peer == null) {
        return false;
      }
      asked.add(peer);
      outstanding++;
      relays.call(peer, call, reply -> onRelayReply(peer, reply));
      long overdueMillis = directPath.overdueMillis() * RELAY_OVERDUE_FACTOR;
      eventLoop.schedule(call.holdMillis() + overdueMillis, this::onOverdue);
      return true;
    }

    private void onRelayReply(PeerAddress peer, StoreReply reply) {
      outstanding--;
      if (!served(reply)) {
        relayPeers.failed(peer, eventLoop.nanoTime());
        if (!done && asked.size() < MAX_RELAYS) {
          relay();
        }
        wayFailed(reply);
        return;
      }
      relayPeers.answered(peer);
      if (directOutstanding && !done) {
        directFailed("a relay answered first");
      }
      finish(reply);
    }

    private void wayFailed(StoreReply reply) {
      if (!(worst instanceof StoreReply.Lost)) {
        worst = reply;
      }
      if (outstanding == 0) {
        finish(worst);
      }
    }

    private void finish(StoreReply reply) {
      if (!done) {
        done = true;
        answer.accept(reply);
      }
    }
  }
}
