package org.baykeel.gateway.placement;

import org.baykeel.gateway.warmup.ColdBounds;

/**
 * The limits that the operator of the platform guarantees or requires.
 *
 * @param cordonMillis the time in milliseconds after which no request may reach the engines of a
 *     cordoned zone
 * @param cold the number of requests that a cold engine may get
 */
public record PlacementBounds(long cordonMillis, ColdBounds cold) {}
