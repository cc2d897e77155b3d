package org.baykeel.gateway.call;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * Status and header fields of an engine's response.
 *
 * @param status the HTTP status
 * @param headers the fields to pass on, without those that apply to one connection only
 * @param traits the properties parsed from the engine's header fields
 */
public record ResponseHead(int status, HttpHeaders headers, ResponseTraits traits) {

  /** Whether the status is 2xx. */
  public boolean success() {
    return status >= 200 && status < 300;
  }
}
