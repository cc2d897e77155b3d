package org.baykeel.gateway.call;

/**
 * A request as one engine is to get it.
 *
 * @param source the caller's request
 * @param body the body for the engine, which for a continued turn holds the whole chain
 * @param remainingMillis how long the caller still waits
 * @param lastEventId the last event that the caller has; {@link CallAttributes#ABSENT} if none
 */
@SuppressWarnings("ArrayRecordComponent")
public record EngineRequest(
    CallRequest source, byte[] body, long remainingMillis, long lastEventId) {}
