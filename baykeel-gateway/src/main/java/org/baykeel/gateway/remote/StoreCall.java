package org.baykeel.gateway.remote;

/**
 * One HTTP call to the store's service.
 *
 * @param method the HTTP method
 * @param target path and query
 * @param body the body, or null for none
 * @param timeoutMillis the time after which the call counts as lost, in milliseconds
 * @param longPoll whether the service may hold the call until there are changes
 */
@SuppressWarnings("ArrayRecordComponent")
public record StoreCall(
    Method method, String target, byte[] body, long timeoutMillis, boolean longPoll) {

  /**
   * Time allowed for the response to a long poll, in addition to the time for which the service may
   * hold the call.
   */
  private static final long LONG_POLL_MARGIN_MILLIS = 800;

  /**
   * Returns a read that the service may hold until there are changes.
   *
   * @param target the path and query
   * @param holdMillis the longest time for which the service holds the call, in milliseconds
   */
  public static StoreCall longPoll(String target, long holdMillis) {
    return new StoreCall(Method.GET, target, null, holdMillis + LONG_POLL_MARGIN_MILLIS, true);
  }

  /**
   * The longest time for which the service may hold the call, in milliseconds; 0 if it is not a
   * long poll.
   */
  public long holdMillis() {
    return longPoll ? Math.max(0, timeoutMillis - LONG_POLL_MARGIN_MILLIS) : 0;
  }

  /** The HTTP method, which states the effect of a call on the store. */
  public enum Method {
    /** Reads; may be sent twice. */
    GET,
    /** Changes rows if their conditions hold; the conditions of a second copy fail. */
    POST
  }
}
