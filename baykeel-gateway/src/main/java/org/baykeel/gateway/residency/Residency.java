package org.baykeel.gateway.residency;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.baykeel.gateway.topology.RegionId;

/**
 * The regions to which a route or a tenant is bound.
 *
 * <p>Invariant: an intersection never allows a region that one of its parts does not allow. Two
 * bindings without a common region allow no region at all, which differs from no binding.
 */
public final class Residency {
  /** No binding. */
  public static final Residency ANY = new Residency(false, Set.of());

  private final boolean bound;
  private final Set<RegionId> regions;

  private Residency(boolean bound, Set<RegionId> regions) {
    this.bound = bound;
    this.regions = regions;
  }

  /**
   * Returns a binding to some regions.
   *
   * @param regions the regions; an empty list means no binding
   */
  public static Residency of(List<RegionId> regions) {
    return regions.isEmpty() ? ANY : new Residency(true, Set.copyOf(regions));
  }

  /** Returns whether there is a binding. */
  public boolean bound() {
    return bound;
  }

  /** Returns whether a request may be in a region. */
  public boolean allows(RegionId region) {
    return !bound || regions.contains(region);
  }

  /** Returns the binding that allows the regions that both bindings allow. */
  public Residency and(Residency other) {
    if (!other.bound) {
      return this;
    }
    if (!bound) {
      return other;
    }
    Set<RegionId> common = new HashSet<>(regions);
    common.retainAll(other.regions);
    return new Residency(true, common);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Residency allowed
        && bound == allowed.bound
        && regions.equals(allowed.regions);
  }

  @Override
  public int hashCode() {
    return regions.hashCode();
  }

  @Override
  public String toString() {
    return bound ? regions.toString() : "any";
  }
}
