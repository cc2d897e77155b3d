package org.baykeel.gateway.peer;

/** Receives messages of peers. */
@FunctionalInterface
public interface PeerMessageListener {
  /**
   * Handles a message.
   *
   * @param sender the address of the sender
   * @param message the message
   */
  void onMessage(PeerAddress sender, PeerMessage message);
}
