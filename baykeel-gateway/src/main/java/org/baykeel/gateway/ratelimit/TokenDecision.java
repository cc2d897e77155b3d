package org.baykeel.gateway.ratelimit;

import org.baykeel.gateway.tenancy.LimitUse;

/**
 * The decision of the node that holds a bucket.
 *
 * @param tokens the number of granted tokens; 0 if none
 * @param firstTurnsAllowed whether first turns of programs may use the tokens
 * @param retryMillis if no tokens were granted, the delay in milliseconds until some are available;
 *     otherwise the delay until the granted tokens may be used
 * @param remaining the tokens that remain in the bucket; negative if tokens are owed, and 0 if the
 *     tokens came from another node
 * @param use the tenant's current demand relative to its limit
 */
record TokenDecision(
    int tokens, boolean firstTurnsAllowed, long retryMillis, double remaining, LimitUse use) {}
