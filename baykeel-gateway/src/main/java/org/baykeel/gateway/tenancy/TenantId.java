package org.baykeel.gateway.tenancy;

import static java.util.Objects.requireNonNull;

/**
 * Names a tenant.
 *
 * @param value the operator's name of the tenant
 */
public record TenantId(String value) {
  /** Longer names don't fit a datagram between nodes together with what is said of the tenant. */
  private static final int MAX_LENGTH = 200;

  public TenantId {
    requireNonNull(value, "value");
    if (value.isEmpty() || value.length() > MAX_LENGTH) {
      throw new IllegalArgumentException("a tenant's name of " + value.length() + " characters");
    }
  }

  /** Written out: the methods of a record are linked at run time, which costs each start. */
  @Override
  public boolean equals(Object other) {
    return other instanceof TenantId id && value.equals(id.value);
  }

  @Override
  public int hashCode() {
    return value.hashCode();
  }
}
