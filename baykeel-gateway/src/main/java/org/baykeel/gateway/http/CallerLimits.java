package org.baykeel.gateway.http;

import org.baykeel.gateway.buffering.HeldBytesLimiter;
import org.baykeel.gateway.buffering.RequestBytesLimiter;

/**
 * The limits on what all callers of a node use together.
 *
 * @param responses limits the bytes of responses that callers have not read
 * @param requests limits the memory of requests
 * @param maxConnections the most connections of callers at once
 */
public record CallerLimits(
    HeldBytesLimiter responses, RequestBytesLimiter requests, int maxConnections) {}
