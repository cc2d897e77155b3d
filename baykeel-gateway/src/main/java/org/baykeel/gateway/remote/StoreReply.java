package org.baykeel.gateway.remote;

/** How a call to the store's service ended. */
public sealed interface StoreReply {

  /**
   * A whole answer.
   *
   * @param status its HTTP status
   * @param body its body
   */
  @SuppressWarnings("ArrayRecordComponent")
  record Answered(int status, byte[] body) implements StoreReply {
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;

    /** Whether the service turned the call away without doing anything. */
    public boolean refused() {
      return status == TOO_MANY_REQUESTS || status == UNAVAILABLE;
    }
  }

  /**
   * The call did not reach the service.
   *
   * @param reason one phrase
   */
  record NotSent(String reason) implements StoreReply {}

  /**
   * No whole answer; what the call asked for may have been done.
   *
   * @param reason one phrase
   */
  record Lost(String reason) implements StoreReply {}
}
