package org.baykeel.gateway.remote;

import java.util.function.Consumer;

/** Sends calls to the store's service. */
@FunctionalInterface
public interface StoreClient {

  /**
   * Makes a call.
   *
   * @param call the call
   * @param callback receives the outcome, exactly once, on the event loop
   */
  void call(StoreCall call, Consumer<StoreReply> callback);
}
