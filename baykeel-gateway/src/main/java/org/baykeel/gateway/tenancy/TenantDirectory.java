package org.baykeel.gateway.tenancy;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The tenants of one configuration, indexed by key and by name; immutable. */
public final class TenantDirectory {
  /** The directory of a configuration without tenants, under which callers need no key. */
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

  /** Collects the tenants of a directory. */
  public static final class Builder {
    private final Map<ApiKey, Tenant> byKey = new HashMap<>();
    private final Map<TenantId, Tenant> byId = new HashMap<>();

    /**
     * Adds a tenant.
     *
     * @param tenant the tenant
     * @param keys its keys; callers cannot act for a tenant without keys
     * @throws IllegalArgumentException if the tenant or one of the keys was added before
     */
    public Builder add(Tenant tenant, Iterable<ApiKey> keys) {
      if (byId.put(tenant.id(), tenant) != null) {
        throw new IllegalArgumentException(
            "tenant " + tenant.id().value() + " is configured twice");
      }
      for (ApiKey key : keys) {
        Tenant other = byKey.put(key, tenant);
        if (other != null && !other.equals(tenant)) {
          throw new IllegalArgumentException("key " + key + " belongs to two tenants");
        }
      }
      return this;
    }

    /** Builds a directory of the tenants added so far. */
    public TenantDirectory build() {
      return new TenantDirectory(this);
    }
  }

  /** Returns whether callers need keys at all. */
  public boolean keysRequired() {
    return !byId.isEmpty();
  }

  /** Returns whether any tenant has a limit. */
  public boolean limited() {
    return limited;
  }

  /** Returns whether any tenant is bound to regions. */
  public boolean boundToRegions() {
    return boundToRegions;
  }

  /** Returns the tenant of a key. */
  public Optional<Tenant> findByKey(ApiKey key) {
    return Optional.ofNullable(byKey.get(key));
  }

  /** Returns the tenant with a name. */
  public Optional<Tenant> find(TenantId id) {
    return Optional.ofNullable(byId.get(id));
  }

  /** Returns the number of tenants. */
  public int size() {
    return byId.size();
  }

  /** Returns the keys of all tenants. */
  Set<ApiKey> keys() {
    return byKey.keySet();
  }
}
