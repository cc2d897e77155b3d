package org.baykeel.gateway.remote;

import java.util.function.Consumer;

/** A way to the store's service. */
@FunctionalInterface
public interface StoreClient {

  /**
   * Makes a call.
   *
   * @param call the call
   * @param callback takes its outcome, exactly once, on the event loop
   */
  void call(StoreCall call, Consumer<StoreReply> callback);
}
