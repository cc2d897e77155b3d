package org.baykeel.gateway.call;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * A caller's request, read whole.
 *
 * @param method the HTTP method
 * @param target path and query as sent
 * @param host the authority
 * @param headers all header fields as sent
 * @param body the body without its framing
 * @param attributes what the header fields mean
 * @param receivedNanos when its last byte was read
 */
@SuppressWarnings("ArrayRecordComponent")
public record CallRequest(
    String method,
    String target,
    String host,
    HttpHeaders headers,
    byte[] body,
    CallAttributes attributes,
    long receivedNanos) {

  /** The path without the query. */
  public String path() {
    int query = target.indexOf('?');
    return query < 0 ? target : target.substring(0, query);
  }
}
