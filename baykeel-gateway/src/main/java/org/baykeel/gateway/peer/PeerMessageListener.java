package org.baykeel.gateway.peer;

/** Hears what other nodes tell this one. */
@FunctionalInterface
public interface PeerMessageListener {
  /**
   * Takes a message.
   *
   * @param sender where it came from
   * @param message what it says
   */
  void onMessage(PeerAddress sender, PeerMessage message);
}
