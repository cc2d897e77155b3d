package org.baykeel.gateway.topology;

/** How a place relates to this node's own. */
public enum Locality {
  /** The same zone. */
  SAME_ZONE(1.0),

  /** Another zone of the same region. */
  SAME_REGION(4.0),

  /** Another region. */
  OTHER_REGION(40.0);

  private final double assumedRoundTripMillis;

  Locality(double assumedRoundTripMillis) {
    this.assumedRoundTripMillis = assumedRoundTripMillis;
  }

  /**
   * The time there and back until it has been measured, in milliseconds: of the order of a data
   * centre, of several in one town, and of several hundred kilometres of fibre.
   */
  public double assumedRoundTripMillis() {
    return assumedRoundTripMillis;
  }

  /** Whether a place is in this node's own region. */
  public boolean inRegion() {
    return this != OTHER_REGION;
  }
}
