package org.baykeel.gateway.ratelimit;

import org.baykeel.gateway.tenancy.LimitUse;

/**
 * What the holder of a bucket decides.
 *
 * @param tokens tokens given; 0 if none
 * @param firstTurnsAllowed whether programs may begin with them
 * @param retryMillis when there will be some, if none were given; otherwise when those that were
 *     given may be used
 * @param remaining what the bucket still holds
 * @param use what the tenant asked for lately
 */
record TokenDecision(
    int tokens, boolean firstTurnsAllowed, long retryMillis, double remaining, LimitUse use) {}
