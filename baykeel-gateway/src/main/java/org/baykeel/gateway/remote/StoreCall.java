package org.baykeel.gateway.remote;

/**
 * One call to the store's service.
 *
 * @param method the HTTP method
 * @param target path and query
 * @param body the body, or null for none
 * @param timeoutMillis when the call counts as lost
 * @param longPoll whether the service may hold the call until it has something to tell
 */
@SuppressWarnings("ArrayRecordComponent")
public record StoreCall(
    Method method, String target, byte[] body, long timeoutMillis, boolean longPoll) {

  /** What a long poll's answer may take besides the time that the service may hold it. */
  private static final long LONG_POLL_SLACK_MILLIS = 800;

  /**
   * A question that the service may hold.
   *
   * @param target path and query
   * @param holdMillis for how long
   */
  public static StoreCall longPoll(String target, long holdMillis) {
    return new StoreCall(Method.GET, target, null, holdMillis + LONG_POLL_SLACK_MILLIS, true);
  }

  /** For how long the service may hold the call, in milliseconds. */
  public long holdMillis() {
    return longPoll ? Math.max(0, timeoutMillis - LONG_POLL_SLACK_MILLIS) : 0;
  }

  /** What a call does to the store. */
  public enum Method {
    /** Reads; may be made twice. */
    GET,
    /** Changes rows if their conditions hold; a second copy finds its condition broken. */
    POST
  }
}
