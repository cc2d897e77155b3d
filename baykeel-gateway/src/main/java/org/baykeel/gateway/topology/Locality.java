package org.baykeel.gateway.topology;

/** The location of a zone relative to this node. */
public enum Locality {
  /** The zone of this node. */
  SAME_ZONE(1.0),

  /** Another zone of this node's region. */
  SAME_REGION(4.0),

  /** A zone of another region. */
  OTHER_REGION(40.0);

  private final double assumedRoundTripMillis;

  Locality(double assumedRoundTripMillis) {
    this.assumedRoundTripMillis = assumedRoundTripMillis;
  }

  /**
   * Returns the round trip in milliseconds that is assumed until one has been measured: the order
   * of magnitude within one data centre, between data centres of one town, and over several hundred
   * kilometres of fibre.
   */
  public double assumedRoundTripMillis() {
    return assumedRoundTripMillis;
  }

  /** Returns whether the location is in this node's region. */
  public boolean inRegion() {
    return this != OTHER_REGION;
  }
}
