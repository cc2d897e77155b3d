package org.baykeel.gateway.tenancy;

import java.util.Optional;
import org.baykeel.gateway.residency.Residency;

/**
 * The caller on whose behalf a request runs.
 *
 * @param keysInForce whether the active configuration names tenants, so that keys are checked
 * @param tenant the tenant whose key the request carries; empty where no key is needed
 */
public record Caller(boolean keysInForce, Optional<Tenant> tenant) {
  /** A caller under a configuration without keys. */
  public static final Caller WITHOUT_KEYS = new Caller(false, Optional.empty());

  /** A caller without a key, on a route that needs none, under a configuration with keys. */
  public static final Caller ANONYMOUS = new Caller(true, Optional.empty());

  /** Returns the caller with a key of the given tenant. */
  public static Caller of(Tenant tenant) {
    return new Caller(true, Optional.of(tenant));
  }

  /**
   * Qualifies an identifier that the caller has chosen, to keep it distinct from the same
   * identifier of another tenant.
   *
   * @param id the identifier as the caller sent it; may be null
   * @return the identifier within this caller's tenant; null if none was given
   */
  public String scoped(String id) {
    if (id == null || tenant.isEmpty()) {
      return id;
    }
    return tenant.get().id().value() + '/' + id;
  }

  /**
   * Returns the priority of a request; the tenant's priority takes precedence over the route's.
   *
   * @param routePriority the priority of the request's route
   */
  public int priority(int routePriority) {
    return tenant.isPresent() ? tenant.get().priority().orElse(routePriority) : routePriority;
  }

  /** Returns the regions in which the tenant's requests may run. */
  public Residency residency() {
    return tenant.map(Tenant::residency).orElse(Residency.ANY);
  }

  /** Returns the tenant's name for the log; "none" if there is no tenant. */
  public String name() {
    return tenant.map(Tenant::id).map(TenantId::value).orElse("none");
  }
}
