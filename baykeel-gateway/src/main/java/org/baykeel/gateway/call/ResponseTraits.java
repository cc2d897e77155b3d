package org.baykeel.gateway.call;

/**
 * Properties of a response, parsed from the engine's header fields.
 *
 * @param requestId the request that it belongs to, or null
 * @param notExecuted whether the engine states that it did not run the request
 * @param signature the engine's signature of it, or null
 * @param eventStream whether the body is a stream of events
 */
public record ResponseTraits(
    String requestId, boolean notExecuted, String signature, boolean eventStream) {

  /** Whether it carries the engine's signature. */
  public boolean signed() {
    return signature != null;
  }
}
