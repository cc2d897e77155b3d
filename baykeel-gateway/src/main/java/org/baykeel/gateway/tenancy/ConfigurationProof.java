package org.baykeel.gateway.tenancy;

/**
 * A statement that a configuration was the newest one at some time.
 *
 * @param version the version of the configuration
 * @param storeMillis the time on the store's clock, in milliseconds
 */
public record ConfigurationProof(long version, long storeMillis) {}
