package org.baykeel.gateway.remote;

import java.util.function.Consumer;
import org.baykeel.gateway.peer.PeerAddress;

/** Carries calls to other nodes, which make them in place of this one. */
@FunctionalInterface
public interface RelayTransport {

  /**
   * Has another node make a call.
   *
   * @param peer the node
   * @param call the call
   * @param callback takes its outcome, exactly once, on the event loop
   */
  void call(PeerAddress peer, StoreCall call, Consumer<StoreReply> callback);
}
