package org.baykeel.gateway.topology;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The mapping of zones to regions, as seen from this node. Without a mapping all zones lie in one
 * region; a zone that the mapping lacks counts as one of this node's region.
 */
public final class Topology {
  private final String ownZone;
  private final RegionId ownRegion;
  private final Map<String, RegionId> regionByZone;
  private final Map<String, Locality> localityByZone = new HashMap<>();
  private final boolean severalRegions;

  /**
   * Creates a topology.
   *
   * @param ownZone the zone of this node
   * @param regionByZone the region of each zone; may be empty
   */
  public Topology(String ownZone, Map<String, RegionId> regionByZone) {
    this.ownZone = ownZone;
    this.regionByZone = Map.copyOf(regionByZone);
    this.severalRegions = regionByZone.values().stream().distinct().count() > 1;
    this.ownRegion = regionByZone.getOrDefault(ownZone, new RegionId(""));
    regionByZone.keySet().forEach(zone -> localityByZone.put(zone, computeLocality(zone)));
  }

  /** Returns a topology in which all zones lie in one region. */
  public static Topology ofOneRegion(String ownZone) {
    return new Topology(ownZone, Map.of());
  }

  /** Returns the region of this node; its name is empty if the mapping lacks this node's zone. */
  public RegionId ownRegion() {
    return ownRegion;
  }

  /** Returns whether the mapping has more than one region. */
  public boolean severalRegions() {
    return severalRegions;
  }

  /** Returns the zone of this node. */
  public String ownZone() {
    return ownZone;
  }

  /** Returns the region of a zone, or empty if the mapping lacks the zone. */
  public Optional<RegionId> knownRegionOf(String zone) {
    return Optional.ofNullable(regionByZone.get(zone));
  }

  /** Returns the region of a zone; this node's region if the mapping lacks the zone. */
  public RegionId regionOf(String zone) {
    return regionByZone.getOrDefault(zone, ownRegion);
  }

  /** Returns the locality of a zone. */
  public Locality localityOf(String zone) {
    Locality known = localityByZone.get(zone);
    return known != null ? known : computeLocality(zone);
  }

  private Locality computeLocality(String zone) {
    if (zone.equals(ownZone)) {
      return Locality.SAME_ZONE;
    }
    return regionOf(zone).equals(ownRegion) ? Locality.SAME_REGION : Locality.OTHER_REGION;
  }
}
