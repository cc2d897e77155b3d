package org.baykeel.gateway.topology;

import static java.util.Objects.requireNonNull;

/**
 * The name of a region: zones close enough to each other that a request may cross them.
 *
 * @param value the operator's name
 */
public record RegionId(String value) {
  public RegionId {
    requireNonNull(value, "value");
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof RegionId region && value.equals(region.value);
  }

  @Override
  public int hashCode() {
    return value.hashCode();
  }

  @Override
  public String toString() {
    return value;
  }
}
