package org.baykeel.gateway.call;

/**
 * Properties of a response, parsed from the engine's header fields.
 *
 * @param requestId the request that it belongs to, or null
 * @param notExecuted whether the engine states that it did not run the request
 * @param signed whether it carries the engine's signature
 * @param eventStream whether the body is a stream of events
 */
public record ResponseTraits(
    String requestId, boolean notExecuted, boolean signed, boolean eventStream) {}
