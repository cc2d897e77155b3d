package org.baykeel.gateway.call;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Set;

/**
 * Status and header fields of an engine's response.
 *
 * @param status the HTTP status
 * @param headers the fields to pass on, without those that apply to one connection only
 * @param traits the properties parsed from the engine's header fields
 */
public record ResponseHead(int status, HttpHeaders headers, ResponseTraits traits) {

  /** The statuses from which a caller concludes that its request did not run. */
  private static final Set<Integer> NOT_RUN_STATUSES = Set.of(402, 408, 421, 429, 503);

  /**
   * Whether a caller concludes from the status that its request did not run, although the engine
   * neither states that nor signs its response.
   */
  boolean impliesNotRunWithoutProof() {
    return NOT_RUN_STATUSES.contains(status) && !traits.notExecuted() && !traits.signed();
  }

  /** Whether the status is 2xx. */
  public boolean success() {
    return status >= 200 && status < 300;
  }
}
