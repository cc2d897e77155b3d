package org.baykeel.gateway.call;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * Status and header fields of an engine's answer.
 *
 * @param status the HTTP status
 * @param headers fields that are passed on; none that belong to one connection
 * @param traits what the engine's own fields mean
 */
public record ResponseHead(int status, HttpHeaders headers, ResponseTraits traits) {

  /** Whether the status tells of success. */
  public boolean success() {
    return status >= 200 && status < 300;
  }
}
