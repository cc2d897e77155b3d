package org.baykeel.gateway.peer;

/** How far another node is. */
@FunctionalInterface
public interface PeerLatency {
  /** All nodes are so near that the way takes no time worth counting. */
  PeerLatency ZERO = peer -> 0;

  /** The time to a node and back in milliseconds, as measured or assumed. */
  long roundTripMillis(PeerAddress peer);
}
