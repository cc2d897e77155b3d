package org.baykeel.gateway.peer;

/** Sends datagrams to other nodes; they may be lost, doubled or late. */
@FunctionalInterface
public interface PeerTransport {

  /**
   * Sends a datagram, without any promise.
   *
   * @param receiver where it goes
   * @param datagram its bytes
   */
  void send(PeerAddress receiver, byte[] datagram);

  /** Receives datagrams on the event loop. */
  @FunctionalInterface
  interface Receiver {
    /**
     * Takes a datagram.
     *
     * @param sender where it came from
     * @param datagram its bytes
     */
    void receive(PeerAddress sender, byte[] datagram);
  }
}
