package org.baykeel.gateway.call;

/**
 * What an engine's header fields say about its answer.
 *
 * @param requestId the request it answers, or null
 * @param notExecuted whether the engine states that it did not run the request
 * @param signed whether it carries the engine's signature
 * @param eventStream whether the body is a series of events
 */
public record ResponseTraits(
    String requestId, boolean notExecuted, boolean signed, boolean eventStream) {}
