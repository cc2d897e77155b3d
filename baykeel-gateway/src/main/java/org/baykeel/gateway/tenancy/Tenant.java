package org.baykeel.gateway.tenancy;

import java.util.OptionalInt;

/**
 * A tenant as the configuration describes it.
 *
 * @param id its name
 * @param priority its rank, which goes before that of a route; nothing if it has none of its own
 * @param limit how many requests it may run
 */
public record Tenant(TenantId id, OptionalInt priority, RateLimit limit) {}
