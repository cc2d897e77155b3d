package org.baykeel.gateway.quarantine;

import org.baykeel.gateway.peer.ByteBudget;
import org.baykeel.gateway.peer.PeerAddress;
import org.baykeel.gateway.peer.PeerDirectory;
import org.baykeel.gateway.peer.PeerMessage;
import org.baykeel.gateway.peer.PeerMessageCodec;
import org.baykeel.gateway.peer.PeerTransport;
import org.baykeel.gateway.runtime.EventLoop;

/**
 * Sends messages to all peers of all regions, and repeats them, since datagrams may be lost. The
 * bytes are limited; repetitions beyond the limit are omitted first.
 */
final class PeerBroadcast {
  private final PeerDirectory peers;
  private final PeerTransport transport;
  private final PeerMessageCodec codec;
  private final EventLoop eventLoop;
  private final ByteBudget budget;
  private final long reservedBytes;
  private final long[] repeatMillis;
  private long dropped;

  /** Creates a message when it is sent. */
  @FunctionalInterface
  interface MessageSource {
    /** Returns the message as of now, or null if there is no need to send it any more. */
    PeerMessage create();
  }

  /**
   * Creates a broadcast whose limit is not used yet.
   *
   * @param bytesPerSecond the limit of bytes per second, counted on the link
   * @param burstBytes the most bytes that may be sent at once; half of them are left to messages
   *     that are sent for the first time
   * @param repeatMillis when a message is sent again, in milliseconds after the first time
   */
  PeerBroadcast(
      PeerDirectory peers,
      PeerTransport transport,
      PeerMessageCodec codec,
      EventLoop eventLoop,
      long bytesPerSecond,
      long burstBytes,
      long... repeatMillis) {
    this.peers = peers;
    this.transport = transport;
    this.codec = codec;
    this.eventLoop = eventLoop;
    this.budget = new ByteBudget(bytesPerSecond, burstBytes, eventLoop.nanoTime());
    this.reservedBytes = burstBytes / 2;
    this.repeatMillis = repeatMillis.clone();
  }

  /** Sends a message to all peers now and at the times of repetition. */
  void sendRepeatedly(MessageSource source) {
    send(source, 0);
    for (long millis : repeatMillis) {
      eventLoop.schedule(millis, () -> send(source, reservedBytes));
    }
  }

  /**
   * Sends a message to one peer once.
   *
   * @return whether the limit allowed it
   */
  boolean sendTo(PeerAddress peer, PeerMessage message) {
    return send(peer, codec.encode(message), reservedBytes);
  }

  private void send(MessageSource source, long reserved) {
    PeerMessage message = source.create();
    if (message == null) {
      return;
    }
    byte[] datagram = codec.encode(message);
    for (PeerAddress peer : peers.peers()) {
      send(peer, datagram, reserved);
    }
  }

  private boolean send(PeerAddress peer, byte[] datagram, long reserved) {
    long bytes = ByteBudget.wireBytes(datagram.length);
    long now = eventLoop.nanoTime();
    if (budget.available(now) < bytes + reserved) {
      dropped++;
      return false;
    }
    budget.consume(bytes, now);
    transport.send(peer, datagram);
    return true;
  }

  /** Returns how many datagrams were not sent because of the limit. */
  long dropped() {
    return dropped;
  }
}
