package org.baykeel.gateway.peer;

import java.util.List;
import org.baykeel.gateway.telemetry.LoopWork;

/**
 * Decodes datagrams of peers and passes the messages to listeners; drops datagrams that cannot be
 * decoded.
 */
public final class PeerMessageDispatcher implements PeerTransport.Receiver {
  private final PeerMessageCodec codec;
  private final PeerDirectory peers;
  private final List<PeerMessageListener> listeners;
  private final LoopWork work;

  /**
   * Creates a dispatcher.
   *
   * @param peers is updated with the sender of each message
   * @param listeners receive every message
   */
  public PeerMessageDispatcher(
      PeerMessageCodec codec, PeerDirectory peers, List<PeerMessageListener> listeners) {
    this(codec, peers, listeners, new LoopWork());
  }

  /**
   * Creates a dispatcher.
   *
   * @param peers is updated with the sender of each message
   * @param listeners receive every message
   * @param work counts the messages by type and measures their time
   */
  public PeerMessageDispatcher(
      PeerMessageCodec codec,
      PeerDirectory peers,
      List<PeerMessageListener> listeners,
      LoopWork work) {
    this.work = work;
    this.codec = codec;
    this.peers = peers;
    this.listeners = List.copyOf(listeners);
  }

  @Override
  public void receive(PeerAddress sender, byte[] datagram) {
    work.measure(
        LoopWork.Kind.PEERS,
        () -> codec.decode(datagram).ifPresent(message -> dispatch(sender, message)));
  }

  private void dispatch(PeerAddress sender, PeerMessage message) {
    work.received(message.getClass());
    recordSender(sender, message);
    for (PeerMessageListener listener : listeners) {
      listener.onMessage(sender, message);
    }
  }

  private void recordSender(PeerAddress sender, PeerMessage message) {
    if (message instanceof PeerMessage.NodeAnnouncement announcement) {
      peers.onAnnouncement(sender, announcement.zone());
    } else {
      peers.onSender(sender);
    }
  }
}
