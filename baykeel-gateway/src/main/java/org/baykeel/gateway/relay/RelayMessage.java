package org.baykeel.gateway.relay;

import org.baykeel.gateway.remote.StoreCall;
import org.baykeel.gateway.remote.StoreReply;

/** What nodes send each other about relayed calls. */
sealed interface RelayMessage {

  /**
   * A call that the receiver is to make.
   *
   * @param correlationId chosen by the sender, unique on its connection
   * @param call the call
   */
  record Request(long correlationId, StoreCall call) implements RelayMessage {}

  /**
   * What became of a call.
   *
   * @param correlationId that of the request
   * @param reply the outcome
   */
  record Reply(long correlationId, StoreReply reply) implements RelayMessage {}
}
