package org.baykeel.gateway.peer;

/** Sends datagrams to peers; they may be lost, duplicated or delayed. */
@FunctionalInterface
public interface PeerTransport {

  /**
   * Sends a datagram without a guarantee of delivery.
   *
   * @param receiver the address of the receiver
   * @param datagram the bytes
   */
  void send(PeerAddress receiver, byte[] datagram);

  /** Receives datagrams on the event loop. */
  @FunctionalInterface
  interface Receiver {
    /**
     * Handles a datagram.
     *
     * @param sender the address of the sender
     * @param datagram the bytes
     */
    void receive(PeerAddress sender, byte[] datagram);
  }
}
