package org.baykeel.gateway.remote;

import java.util.function.Consumer;
import org.baykeel.gateway.peer.PeerAddress;

/** Sends calls to other nodes, which execute them on behalf of this node. */
@FunctionalInterface
public interface RelayTransport {

  /**
   * Sends a call to another node.
   *
   * @param peer the relay node
   * @param call the call
   * @param callback receives the outcome, exactly once, on the event loop
   */
  void call(PeerAddress peer, StoreCall call, Consumer<StoreReply> callback);
}
