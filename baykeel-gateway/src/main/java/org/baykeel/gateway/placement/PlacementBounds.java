package org.baykeel.gateway.placement;

import org.baykeel.gateway.warmup.ColdBounds;

/**
 * What the operator of the platform promises or asks for.
 *
 * @param cordonMillis within which nothing more may reach the engines of a zone out of service
 * @param cold how many requests a cold engine may get
 */
public record PlacementBounds(long cordonMillis, ColdBounds cold) {}
