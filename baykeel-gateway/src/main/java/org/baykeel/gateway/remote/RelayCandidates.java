package org.baykeel.gateway.remote;

import java.util.Collection;
import java.util.List;
import org.baykeel.gateway.peer.PeerAddress;

/** The nodes that may relay calls to the store. */
public interface RelayCandidates {
  /** The nodes of this node's region. */
  Collection<PeerAddress> sameRegion();

  /**
   * Nodes used only if no node of this region remains: those of other regions, and possibly those
   * of this region again; empty if calls may carry data that must stay in its region.
   */
  Collection<PeerAddress> otherRegions();

  /** Returns candidates that are all in this node's region. */
  static RelayCandidates sameRegion(Collection<PeerAddress> nodes) {
    return new RelayCandidates() {
      @Override
      public Collection<PeerAddress> sameRegion() {
        return nodes;
      }

      @Override
      public Collection<PeerAddress> otherRegions() {
        return List.of();
      }
    };
  }
}
