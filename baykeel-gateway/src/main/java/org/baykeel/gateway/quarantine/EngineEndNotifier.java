package org.baykeel.gateway.quarantine;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.baykeel.gateway.directory.EngineIncarnation;
import org.baykeel.gateway.peer.ByteBudget;
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
 * any of them. A notice is repeated, since datagrams may be lost. The bytes are limited;
 * repetitions beyond the limit are omitted first.
 */
final class EngineEndNotifier {
  private static final long BYTES_PER_SECOND = 8_192;
  private static final long BURST_BYTES = 131_072;

  /** Repetitions use no more than this, so that first notices find some bytes left. */
  private static final long RESERVED_BYTES = 65_536;

  private static final long[] REPEAT_MILLIS = {100, 1_000};

  /** Requests that complete within this time are reported together. */
  private static final long CLEARANCE_DELAY_MILLIS = 20;

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final PeerDirectory peers;
  private final PeerTransport transport;
  private final PeerMessageCodec codec;
  private final EventLoop eventLoop;
  private final ByteBudget budget;
  private final Set<RequestFingerprint> cleared = new LinkedHashSet<>();
  private long noticesDropped;

  EngineEndNotifier(
      PeerDirectory peers, PeerTransport transport, PeerMessageCodec codec, EventLoop eventLoop) {
    this.peers = peers;
    this.transport = transport;
    this.codec = codec;
    this.eventLoop = eventLoop;
    this.budget = new ByteBudget(BYTES_PER_SECOND, BURST_BYTES, eventLoop.nanoTime());
  }

  /** Sends the end of an engine with the requests of this node that it was running. */
  void sendEnd(EngineIncarnation engine, long endedNanos, List<RequestFingerprint> requests) {
    for (int from = 0; from < requests.size(); from += EngineEndCodec.MAX_REQUESTS) {
      int to = Math.min(requests.size(), from + EngineEndCodec.MAX_REQUESTS);
      List<RequestFingerprint> part = requests.subList(from, to);
      sendRepeatedly(
          () -> {
            long ageMillis = (eventLoop.nanoTime() - endedNanos) / NANOS_PER_MILLI;
            return new PeerMessage.EngineEndNotice(engine, ageMillis, part);
          });
    }
  }

  /** Sends that an engine has not ended. */
  void sendWithdrawal(EngineIncarnation engine) {
    sendRepeatedly(() -> new PeerMessage.EngineEndWithdrawal(engine));
  }

  /** Sends that a request completed, together with others that complete soon. */
  void sendClearance(RequestFingerprint request) {
    if (cleared.isEmpty()) {
      eventLoop.schedule(CLEARANCE_DELAY_MILLIS, this::sendClearances);
    }
    cleared.add(request);
  }

  private void sendClearances() {
    Iterator<RequestFingerprint> remaining = List.copyOf(cleared).iterator();
    cleared.clear();
    while (remaining.hasNext()) {
      List<RequestFingerprint> part = new ArrayList<>();
      while (remaining.hasNext() && part.size() < EngineEndCodec.MAX_REQUESTS) {
        part.add(remaining.next());
      }
      sendRepeatedly(() -> new PeerMessage.RequestClearance(part));
    }
  }

  /** Creates a message when it is sent. */
  @FunctionalInterface
  private interface MessageSource {
    PeerMessage create();
  }

  private void sendRepeatedly(MessageSource source) {
    send(source, 0);
    for (long millis : REPEAT_MILLIS) {
      eventLoop.schedule(millis, () -> send(source, RESERVED_BYTES));
    }
  }

  private void send(MessageSource source, long reservedBytes) {
    byte[] datagram = codec.encode(source.create());
    long bytes = ByteBudget.wireBytes(datagram.length);
    long now = eventLoop.nanoTime();
    for (PeerAddress peer : peers.peers()) {
      if (budget.available(now) < bytes + reservedBytes) {
        noticesDropped++;
      } else {
        budget.consume(bytes, now);
        transport.send(peer, datagram);
      }
    }
  }

  /** Returns how many datagrams were not sent because of the limit. */
  long noticesDropped() {
    return noticesDropped;
  }
}
