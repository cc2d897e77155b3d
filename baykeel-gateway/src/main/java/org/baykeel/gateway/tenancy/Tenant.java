package org.baykeel.gateway.tenancy;

import java.util.OptionalInt;
import org.baykeel.gateway.residency.Residency;

/**
 * A tenant as the configuration describes it.
 *
 * @param id its name
 * @param priority its rank, which goes before that of a route; nothing if it has none of its own
 * @param limit how many requests it may run
 * @param residency where its requests may run, be cached and be kept
 */
public record Tenant(TenantId id, OptionalInt priority, RateLimit limit, Residency residency) {

  /** A tenant that is bound to no region. */
  public Tenant(TenantId id, OptionalInt priority, RateLimit limit) {
    this(id, priority, limit, Residency.ANY);
  }
}
