package org.baykeel.gateway.quarantine;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.baykeel.gateway.directory.EngineIncarnation;
import org.baykeel.gateway.peer.EngineEndCodec;
import org.baykeel.gateway.peer.PeerAddress;
import org.baykeel.gateway.peer.PeerDirectory;
import org.baykeel.gateway.peer.PeerMessage;
import org.baykeel.gateway.peer.PeerMessageCodec;
import org.baykeel.gateway.peer.PeerTransport;
import org.baykeel.gateway.program.RequestFingerprint;
import org.baykeel.gateway.runtime.EventLoop;

/**
 * Sends evidence, and its withdrawal, to all peers of all regions: a caller's next try may come to
 * any of them.
 */
final class EngineEndNotifier {
  private static final long BYTES_PER_SECOND = 8_192;
  private static final long BURST_BYTES = 131_072;

  /** The later ones reach nodes that were restarting before. */
  private static final long[] REPEAT_MILLIS = {50, 150, 400, 1_000, 2_500, 5_000};

  /** Requests that complete within this time are reported together. */
  private static final long CLEARANCE_DELAY_MILLIS = 20;

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final EventLoop eventLoop;
  private final PeerBroadcast broadcast;
  private final Set<RequestFingerprint> cleared = new LinkedHashSet<>();

  EngineEndNotifier(
      PeerDirectory peers, PeerTransport transport, PeerMessageCodec codec, EventLoop eventLoop) {
    this.eventLoop = eventLoop;
    this.broadcast =
        new PeerBroadcast(
            peers, transport, codec, eventLoop, BYTES_PER_SECOND, BURST_BYTES, REPEAT_MILLIS);
  }

  /** Sends the end of an engine with the requests of this node that it was running. */
  void sendEnd(EngineIncarnation engine, long endedNanos, List<RequestFingerprint> requests) {
    for (int from = 0; from < requests.size(); from += EngineEndCodec.MAX_REQUESTS) {
      int to = Math.min(requests.size(), from + EngineEndCodec.MAX_REQUESTS);
      List<RequestFingerprint> part = requests.subList(from, to);
      broadcast.sendRepeatedly(
          () -> new PeerMessage.EngineEndNotice(engine, ageMillis(endedNanos), part));
    }
  }

  /** Sends the end of an engine to a peer that may not know it. */
  void sendEndTo(
      PeerAddress peer, EngineIncarnation engine, long endedNanos, List<RequestFingerprint> part) {
    broadcast.sendTo(peer, new PeerMessage.EngineEndNotice(engine, ageMillis(endedNanos), part));
  }

  /** Sends that an engine responded just now, so that it has not ended. */
  void sendWithdrawal(EngineIncarnation engine) {
    long respondedNanos = eventLoop.nanoTime();
    broadcast.sendRepeatedly(
        () -> new PeerMessage.EngineEndWithdrawal(engine, ageMillis(respondedNanos)));
  }

  /**
   * Sends to a peer that an engine has not ended.
   *
   * @param respondedNanos when it responded, by the event loop's clock
   */
  void sendWithdrawalTo(PeerAddress peer, EngineIncarnation engine, long respondedNanos) {
    broadcast.sendTo(peer, new PeerMessage.EngineEndWithdrawal(engine, ageMillis(respondedNanos)));
  }

  /**
   * Sends to a peer that a request completed.
   *
   * @param completedNanos when it completed, by the event loop's clock
   */
  void sendClearanceTo(PeerAddress peer, RequestFingerprint request, long completedNanos) {
    broadcast.sendTo(
        peer, new PeerMessage.RequestClearance(List.of(request), ageMillis(completedNanos)));
  }

  private long ageMillis(long nanos) {
    return (eventLoop.nanoTime() - nanos) / NANOS_PER_MILLI;
  }

  /** Sends that a request completed just now, together with others that complete soon. */
  void sendClearance(RequestFingerprint request) {
    if (cleared.isEmpty()) {
      long completedNanos = eventLoop.nanoTime();
      eventLoop.schedule(CLEARANCE_DELAY_MILLIS, () -> sendClearances(completedNanos));
    }
    cleared.add(request);
  }

  private void sendClearances(long completedNanos) {
    Iterator<RequestFingerprint> remaining = List.copyOf(cleared).iterator();
    cleared.clear();
    while (remaining.hasNext()) {
      List<RequestFingerprint> part = new ArrayList<>();
      while (remaining.hasNext() && part.size() < EngineEndCodec.MAX_REQUESTS) {
        part.add(remaining.next());
      }
      broadcast.sendRepeatedly(
          () -> new PeerMessage.RequestClearance(part, ageMillis(completedNanos)));
    }
  }

  /** Returns how many datagrams were not sent because of the limit. */
  long noticesDropped() {
    return broadcast.dropped();
  }
}
