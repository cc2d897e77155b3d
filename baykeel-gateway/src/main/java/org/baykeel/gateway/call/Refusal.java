package org.baykeel.gateway.call;

import org.baykeel.core.error.ErrorKind;

/**
 * A final answer of baykeel's own.
 *
 * @param kind decides the status
 * @param retryAfterMillis when the caller should come back; 0 if the answer does not say
 * @param detail one phrase for the log
 */
public record Refusal(ErrorKind kind, long retryAfterMillis, String detail) {

  /** A refusal without a time to come back. */
  public static Refusal of(ErrorKind kind, String detail) {
    return new Refusal(kind, 0, detail);
  }
}
