package org.baykeel.gateway.call;

import org.baykeel.core.error.ErrorKind;

/**
 * A final response that the node itself generates.
 *
 * @param kind determines the status
 * @param retryAfterMillis when the caller should retry, in milliseconds; 0 if the response does not
 *     give it
 * @param detail a short phrase for the log
 */
public record Refusal(ErrorKind kind, long retryAfterMillis, String detail) {

  /** A refusal without a retry delay. */
  public static Refusal of(ErrorKind kind, String detail) {
    return new Refusal(kind, 0, detail);
  }
}
