package org.baykeel.gateway.topology;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Which zone lies in which region, as seen from this node. Without a map all zones lie in one
 * region, and a zone that the map lacks counts as one of this node's own region.
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

  /** A topology of one region. */
  public static Topology ofOneRegion(String ownZone) {
    return new Topology(ownZone, Map.of());
  }

  /** The region of this node; its name is empty if the map lacks this node's zone. */
  public RegionId ownRegion() {
    return ownRegion;
  }

  /** Whether the map names more than one region. */
  public boolean severalRegions() {
    return severalRegions;
  }

  /** The zone of this node. */
  public String ownZone() {
    return ownZone;
  }

  /** The region of a zone that the map has; nothing for another zone. */
  public Optional<RegionId> knownRegionOf(String zone) {
    return Optional.ofNullable(regionByZone.get(zone));
  }

  /** The region of a zone. */
  public RegionId regionOf(String zone) {
    return regionByZone.getOrDefault(zone, ownRegion);
  }

  /** How a zone relates to this node. */
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
