package org.baykeel.core.message;

import static java.util.Objects.requireNonNull;

/**
 * Where a node listens and in which part of the installation it stands.
 *
 * @param host IP number
 * @param peerPort TCP port for other nodes
 * @param httpPort TCP port for callers and operators
 * @param zone failure domain
 * @param region group of zones
 */
public record NodeAddress(String host, int peerPort, int httpPort, String zone, String region) {
  public NodeAddress {
    requireNonNull(host, "host");
    requireNonNull(zone, "zone");
    requireNonNull(region, "region");
  }
}
