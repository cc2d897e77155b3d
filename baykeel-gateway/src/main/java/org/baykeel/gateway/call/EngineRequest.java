package org.baykeel.gateway.call;

import org.baykeel.gateway.buffering.EngineBody;
import org.baykeel.gateway.tenancy.Caller;
import org.baykeel.gateway.urgency.Urgency;

/**
 * A request in the form in which an engine gets it.
 *
 * @param source the caller's request
 * @param body the body for the engine; for a turn that continues another it holds the whole
 *     conversation. It is released with the call, so that a request must be taken from it at once
 * @param remainingMillis the time until the caller's deadline, in milliseconds
 * @param caller on whose behalf it runs
 * @param lastEventId the last event that the caller has; {@link CallAttributes#ABSENT} if none
 * @param rank its rank in the engine's queue; {@link Urgency#UNRANKED} if in order of arrival
 */
public record EngineRequest(
    CallRequest source,
    EngineBody body,
    long remainingMillis,
    Caller caller,
    long lastEventId,
    int rank) {}
