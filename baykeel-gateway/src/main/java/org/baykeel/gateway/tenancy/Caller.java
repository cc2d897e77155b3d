package org.baykeel.gateway.tenancy;

import java.util.Optional;
import org.baykeel.gateway.residency.Residency;

/**
 * On whose behalf a request runs.
 *
 * @param keysInForce whether the configuration names tenants, so that keys mean something
 * @param tenant the tenant whose key the request carries; nothing where no key is needed
 */
public record Caller(boolean keysInForce, Optional<Tenant> tenant) {
  /** A caller where no keys are in force. */
  public static final Caller WITHOUT_KEYS = new Caller(false, Optional.empty());

  /** A caller of a route that needs no key, where keys are in force. */
  public static final Caller ANONYMOUS = new Caller(true, Optional.empty());

  /** The caller that holds a tenant's key. */
  public static Caller of(Tenant tenant) {
    return new Caller(true, Optional.of(tenant));
  }

  /**
   * An identifier that callers chose, told apart from the same one of another tenant.
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
   * The rank of a request: that of its tenant goes before that of its route.
   *
   * @param routePriority the rank of its route
   */
  public int priority(int routePriority) {
    return tenant.isPresent() ? tenant.get().priority().orElse(routePriority) : routePriority;
  }

  /** Where its tenant's requests may run. */
  public Residency residency() {
    return tenant.map(Tenant::residency).orElse(Residency.ANY);
  }

  /** The tenant's name for the log; "none" if there is no tenant. */
  public String name() {
    return tenant.map(Tenant::id).map(TenantId::value).orElse("none");
  }
}
