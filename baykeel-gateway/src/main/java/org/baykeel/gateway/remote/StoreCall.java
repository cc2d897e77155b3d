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

  /** What a call does to the store. */
  public enum Method {
    /** Reads; may be made twice. */
    GET,
    /** Changes rows if their conditions hold; a second copy finds its condition broken. */
    POST
  }
}
