package org.baykeel.gateway.tenancy;

/**
 * A statement that a configuration was the newest one at some moment.
 *
 * @param version its version
 * @param storeMillis the moment, by the store's clock
 */
public record ConfigurationProof(long version, long storeMillis) {}
