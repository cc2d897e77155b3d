package org.baykeel.gateway.call;

import org.baykeel.gateway.tenancy.Caller;
import org.baykeel.gateway.urgency.Urgency;

/**
 * A request as one engine is to get it.
 *
 * @param source the caller's request
 * @param body the body for the engine, which for a continued turn holds the whole chain
 * @param remainingMillis how long the caller still waits
 * @param caller on whose behalf it runs
 * @param lastEventId the last event that the caller has; {@link CallAttributes#ABSENT} if none
 * @param rank its place in the engine's queue; {@link Urgency#UNRANKED} if by arrival
 */
@SuppressWarnings("ArrayRecordComponent")
public record EngineRequest(
    CallRequest source,
    byte[] body,
    long remainingMillis,
    Caller caller,
    long lastEventId,
    int rank) {}
