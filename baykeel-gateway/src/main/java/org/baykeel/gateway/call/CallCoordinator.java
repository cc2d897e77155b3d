package org.baykeel.gateway.call;

/** Starts the calls of a node. */
public final class CallCoordinator {
  private final GatewayContext context;
  private final WaitQueue waitQueue;

  public CallCoordinator(GatewayContext context) {
    this.context = context;
    this.waitQueue = new WaitQueue(context.eventLoop());
    context.quarantine().onFatalRequest(waitQueue::onQuarantineChanged);
  }

  /**
   * Starts the call of a completely read request. The responder gets the outcome, possibly before
   * this method returns.
   */
  public ClientCall accept(CallRequest request, CallResponder responder) {
    ClientCall call = new ClientCall(context, waitQueue, request, responder);
    call.start();
    return call;
  }
}
