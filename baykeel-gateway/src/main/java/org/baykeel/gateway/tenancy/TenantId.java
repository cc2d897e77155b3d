package org.baykeel.gateway.tenancy;

import static java.util.Objects.requireNonNull;

/**
 * Identifies a tenant.
 *
 * @param value the operator's name of the tenant
 */
public record TenantId(String value) {
  /**
   * The longest name that fits into a datagram between nodes together with the tenant's other
   * fields.
   */
  private static final int MAX_LENGTH = 200;

  public TenantId {
    requireNonNull(value, "value");
    if (value.isEmpty() || value.length() > MAX_LENGTH) {
      throw new IllegalArgumentException(
          "invalid length of a tenant name: " + value.length() + " characters");
    }
  }

  /**
   * Implemented by hand because the generated methods of a record are linked at run time, which
   * delays each process start.
   */
  @Override
  public boolean equals(Object other) {
    return other instanceof TenantId id && value.equals(id.value);
  }

  @Override
  public int hashCode() {
    return value.hashCode();
  }
}
