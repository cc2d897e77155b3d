package org.baykeel.gateway.quarantine;

/**
 * A request that an engine was running when a connection to it was lost.
 *
 * @param fingerprint the work of the request
 * @param startedNanos when it was sent to the engine, by the event loop's clock
 */
public record RunningRequest(RequestFingerprint fingerprint, long startedNanos) {}
