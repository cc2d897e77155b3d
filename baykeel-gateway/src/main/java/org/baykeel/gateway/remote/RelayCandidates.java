package org.baykeel.gateway.remote;

import java.util.Collection;
import java.util.List;
import org.baykeel.gateway.peer.PeerAddress;

/** Which nodes may relay calls to the store. */
public interface RelayCandidates {
  /** The nodes of this node's region. */
  Collection<PeerAddress> sameRegion();

  /**
   * Nodes of other regions, asked only if no near one is left; none where calls may carry what must
   * stay in its region.
   */
  Collection<PeerAddress> otherRegions();

  /** Nodes that are all as near as each other. */
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
