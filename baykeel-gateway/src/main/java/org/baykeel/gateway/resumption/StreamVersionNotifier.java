package org.baykeel.gateway.resumption;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.baykeel.gateway.peer.ByteBudget;
import org.baykeel.gateway.peer.PeerAddress;
import org.baykeel.gateway.peer.PeerMessage;
import org.baykeel.gateway.peer.PeerMessageCodec;
import org.baykeel.gateway.peer.PeerTransport;
import org.baykeel.gateway.peer.StreamVersionCodec;
import org.baykeel.gateway.runtime.EventLoop;

/**
 * Sends the software versions of streams that began at this node to their registrars. The bytes are
 * limited; a stream beyond the limit is known to this node only.
 */
final class StreamVersionNotifier {
  /** Bytes per second, counted on the link and to all registrars together. */
  static final long BYTES_PER_SECOND = 8_192;

  private static final long BURST_BYTES = 40_960;

  private final StreamRegistrars registrars;
  private final PeerTransport transport;
  private final PeerMessageCodec codec;
  private final EventLoop eventLoop;
  private final ByteBudget budget;
  private long noticesDropped;

  StreamVersionNotifier(
      StreamRegistrars registrars,
      PeerTransport transport,
      PeerMessageCodec codec,
      EventLoop eventLoop) {
    this.registrars = registrars;
    this.transport = transport;
    this.codec = codec;
    this.eventLoop = eventLoop;
    this.budget = new ByteBudget(BYTES_PER_SECOND, BURST_BYTES, eventLoop.nanoTime());
  }

  /** Sends streams to their registrars, with as few datagrams as possible. */
  void send(List<PeerMessage.StreamVersion> streams) {
    Map<PeerAddress, List<PeerMessage.StreamVersion>> byRegistrar = new LinkedHashMap<>();
    for (PeerMessage.StreamVersion stream : streams) {
      for (PeerAddress registrar : registrars.of(stream.requestId())) {
        byRegistrar.computeIfAbsent(registrar, peer -> new ArrayList<>()).add(stream);
      }
    }
    byRegistrar.forEach(
        (registrar, ofRegistrar) ->
            StreamVersionCodec.split(ofRegistrar).forEach(notice -> send(registrar, notice)));
  }

  private void send(PeerAddress registrar, PeerMessage.StreamVersionNotice notice) {
    byte[] datagram = codec.encode(notice);
    if (budget.tryConsume(ByteBudget.wireBytes(datagram.length), eventLoop.nanoTime())) {
      transport.send(registrar, datagram);
    } else {
      noticesDropped++;
    }
  }

  /** Returns how many datagrams were not sent because of the limit. */
  long noticesDropped() {
    return noticesDropped;
  }
}
