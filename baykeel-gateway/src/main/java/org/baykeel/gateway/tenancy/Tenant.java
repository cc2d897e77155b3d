package org.baykeel.gateway.tenancy;

import java.util.OptionalInt;
import org.baykeel.gateway.residency.Residency;

/**
 * A tenant as the configuration describes it.
 *
 * @param id the name of the tenant
 * @param priority the tenant's priority, which takes precedence over that of a route; empty if it
 *     has none
 * @param limit the limit on its requests
 * @param residency the regions in which its requests may run, be cached and be stored
 */
public record Tenant(TenantId id, OptionalInt priority, RateLimit limit, Residency residency) {

  /** Creates a tenant that is not bound to a region. */
  public Tenant(TenantId id, OptionalInt priority, RateLimit limit) {
    this(id, priority, limit, Residency.ANY);
  }
}
