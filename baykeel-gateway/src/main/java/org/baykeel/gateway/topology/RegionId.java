package org.baykeel.gateway.topology;

import static java.util.Objects.requireNonNull;

/**
 * The name of a region: a group of zones so close to each other that requests may cross between
 * them.
 *
 * @param value the name as configured by the operator
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
