package org.baykeel.gateway.tenancy;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The tenants of one configuration, found by key and by name; immutable. */
public final class TenantDirectory {
  /** A configuration without tenants: callers need no key. */
  public static final TenantDirectory NONE = new Builder().build();

  private final Map<ApiKey, Tenant> byKey;
  private final Map<TenantId, Tenant> byId;
  private final boolean limited;
  private final boolean boundToRegions;

  private TenantDirectory(Builder builder) {
    this.byKey = Map.copyOf(builder.byKey);
    this.byId = Map.copyOf(builder.byId);
    this.limited = byId.values().stream().anyMatch(tenant -> !tenant.limit().unlimited());
    this.boundToRegions = byId.values().stream().anyMatch(tenant -> tenant.residency().bound());
  }

  /** Collects tenants. */
  public static final class Builder {
    private final Map<ApiKey, Tenant> byKey = new HashMap<>();
    private final Map<TenantId, Tenant> byId = new HashMap<>();

    /**
     * Adds a tenant.
     *
     * @param tenant the tenant
     * @param keys its keys; a tenant without keys cannot be named by any caller
     * @throws IllegalArgumentException if the tenant or one of the keys was added before
     */
    public Builder add(Tenant tenant, Iterable<ApiKey> keys) {
      if (byId.put(tenant.id(), tenant) != null) {
        throw new IllegalArgumentException("tenant " + tenant.id().value() + " twice");
      }
      for (ApiKey key : keys) {
        Tenant other = byKey.put(key, tenant);
        if (other != null && !other.equals(tenant)) {
          throw new IllegalArgumentException("key " + key + " of two tenants");
        }
      }
      return this;
    }

    /** The tenants added so far. */
    public TenantDirectory build() {
      return new TenantDirectory(this);
    }
  }

  /** Whether callers need keys at all. */
  public boolean keysRequired() {
    return !byId.isEmpty();
  }

  /** Whether any tenant has a limit. */
  public boolean limited() {
    return limited;
  }

  /** Whether any tenant is bound to regions. */
  public boolean boundToRegions() {
    return boundToRegions;
  }

  /** The tenant that holds a key. */
  public Optional<Tenant> findByKey(ApiKey key) {
    return Optional.ofNullable(byKey.get(key));
  }

  /** The tenant of a name. */
  public Optional<Tenant> find(TenantId id) {
    return Optional.ofNullable(byId.get(id));
  }

  /** How many tenants there are. */
  public int size() {
    return byId.size();
  }

  /** All keys. */
  Set<ApiKey> keys() {
    return byKey.keySet();
  }
}
