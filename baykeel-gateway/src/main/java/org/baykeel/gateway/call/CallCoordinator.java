package org.baykeel.gateway.call;

/** Starts calls. */
public final class CallCoordinator {
  private final GatewayContext context;
  private final WaitQueue waitQueue;

  public CallCoordinator(GatewayContext context) {
    this.context = context;
    this.waitQueue = new WaitQueue(context.eventLoop());
  }

  /** Takes a whole request; the responder hears of its end, perhaps before this returns. */
  public ClientCall accept(CallRequest request, CallResponder responder) {
    ClientCall call = new ClientCall(context, waitQueue, request, responder);
    call.start();
    return call;
  }
}
