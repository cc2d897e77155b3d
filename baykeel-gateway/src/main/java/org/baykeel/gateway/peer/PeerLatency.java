package org.baykeel.gateway.peer;

/** Provides the network latency to peers. */
@FunctionalInterface
public interface PeerLatency {
  /** Every peer has a round trip of 0 ms. */
  PeerLatency ZERO = peer -> 0;

  /** Returns the round trip to a peer in milliseconds, measured or assumed. */
  long roundTripMillis(PeerAddress peer);
}
