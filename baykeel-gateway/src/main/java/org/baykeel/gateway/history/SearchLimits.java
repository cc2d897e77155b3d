package org.baykeel.gateway.history;

/**
 * Until when a search for a turn goes on, by the event loop's clock.
 *
 * @param readUntilNanos the time after which a turn that cannot be read is unavailable
 * @param waitUntilNanos until when the search waits for memory
 */
public record SearchLimits(long readUntilNanos, long waitUntilNanos) {}
