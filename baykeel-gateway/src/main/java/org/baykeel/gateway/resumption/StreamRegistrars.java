package org.baykeel.gateway.resumption;

import java.util.Comparator;
import java.util.List;
import org.baykeel.gateway.peer.PeerAddress;
import org.baykeel.gateway.peer.PeerDirectory;
import org.baykeel.gateway.scheduling.StableHash;

/**
 * The peers that keep the record of a stream for its own node: those with the highest rendezvous
 * rank for its request. They may be in any region, since a stream may be resumed after its whole
 * region is lost.
 *
 * <p>Nodes that know the same peers choose the same registrars, but for themselves.
 */
final class StreamRegistrars {
  /** The records of a stream are lost only if its own node and all registrars are lost. */
  private static final int REGISTRARS = 4;

  private final PeerDirectory peers;

  StreamRegistrars(PeerDirectory peers) {
    this.peers = peers;
  }

  /** A peer and its rank for a stream. */
  private record Ranked(PeerAddress peer, int rank) {}

  /** Returns the registrars of a stream without this node, highest rank first. */
  List<PeerAddress> of(String requestId) {
    return peers.peers().stream()
        .map(peer -> new Ranked(peer, rank(peer, requestId)))
        .sorted(Comparator.comparingInt(Ranked::rank).reversed())
        .limit(REGISTRARS)
        .map(Ranked::peer)
        .toList();
  }

  /** Returns all peers, or none until they have been read. */
  List<PeerAddress> allPeers() {
    return peers.peersIfLoaded().map(List::copyOf).orElse(List.of());
  }

  private static int rank(PeerAddress peer, String requestId) {
    return StableHash.of(peer.toString(), requestId);
  }

  /** Returns whether all peers have been read and there are none. */
  boolean noPeersExist() {
    return peers.peersIfLoaded().filter(known -> known.isEmpty()).isPresent();
  }
}
