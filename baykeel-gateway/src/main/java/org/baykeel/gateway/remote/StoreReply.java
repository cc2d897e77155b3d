package org.baykeel.gateway.remote;

/** The outcome of a call to the store's service. */
public sealed interface StoreReply {

  /**
   * A complete response.
   *
   * @param status its HTTP status
   * @param body its body
   */
  @SuppressWarnings("ArrayRecordComponent")
  record Answered(int status, byte[] body) implements StoreReply {
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;

    /** Whether the service refused the call without executing it (status 429 or 503). */
    public boolean refused() {
      return status == TOO_MANY_REQUESTS || status == UNAVAILABLE;
    }
  }

  /**
   * The call did not reach the service.
   *
   * @param reason the reason, as one phrase
   */
  record NotSent(String reason) implements StoreReply {}

  /**
   * There is no complete response; the call may have been executed.
   *
   * @param reason the reason, as one phrase
   */
  record Lost(String reason) implements StoreReply {}
}
