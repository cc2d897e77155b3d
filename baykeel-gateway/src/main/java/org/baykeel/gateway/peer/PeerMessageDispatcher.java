package org.baykeel.gateway.peer;

import java.util.List;

/**
 * Decodes datagrams of peers and passes the messages to listeners; drops datagrams that cannot be
 * decoded.
 */
public final class PeerMessageDispatcher implements PeerTransport.Receiver {
  private final PeerMessageCodec codec;
  private final PeerDirectory peers;
  private final List<PeerMessageListener> listeners;

  /**
   * Creates a dispatcher.
   *
   * @param peers is updated with the sender of each message
   * @param listeners receive every message
   */
  public PeerMessageDispatcher(
      PeerMessageCodec codec, PeerDirectory peers, List<PeerMessageListener> listeners) {
    this.codec = codec;
    this.peers = peers;
    this.listeners = List.copyOf(listeners);
  }

  @Override
  public void receive(PeerAddress sender, byte[] datagram) {
    codec
        .decode(datagram)
        .ifPresent(
            message -> {
              recordSender(sender, message);
              listeners.forEach(listener -> listener.onMessage(sender, message));
            });
  }

  private void recordSender(PeerAddress sender, PeerMessage message) {
    if (message instanceof PeerMessage.NodeAnnouncement announcement) {
      peers.onAnnouncement(sender, announcement.zone());
    } else {
      peers.onSender(sender);
    }
  }
}
