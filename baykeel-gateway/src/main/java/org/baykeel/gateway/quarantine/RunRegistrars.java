package org.baykeel.gateway.quarantine;

import java.util.Collection;
import java.util.List;
import java.util.function.Predicate;
import org.baykeel.gateway.peer.PeerAddress;
import org.baykeel.gateway.peer.PeerDirectory;
import org.baykeel.gateway.program.RequestFingerprint;
import org.baykeel.gateway.scheduling.StableHash;

/**
 * Selects the nodes that know of a run besides its own node: two of the node's region, in different
 * zones if there are several, with the highest rendezvous rank for the request among those that
 * respond.
 *
 * <p>Nodes that know the same peers select the same registrars for a request, but for themselves,
 * so that at least one registrar knows both of two runs at different nodes.
 */
final class RunRegistrars {
  /** The number of registrars of a run; fewer if there are not so many peers. */
  static final int REGISTRARS = 2;

  private final PeerDirectory peers;
  private final PeerResponsiveness responsiveness;
  private final Predicate<PeerAddress> unreachable;

  /**
   * Creates a selection.
   *
   * @param unreachable whether a peer is known not to be reached
   */
  RunRegistrars(
      PeerDirectory peers, PeerResponsiveness responsiveness, Predicate<PeerAddress> unreachable) {
    this.peers = peers;
    this.responsiveness = responsiveness;
    this.unreachable = unreachable;
  }

  private boolean isCandidate(PeerAddress peer) {
    return responsiveness.isResponsive(peer) && !unreachable.test(peer);
  }

  /** Returns the address of this node. */
  PeerAddress self() {
    return peers.ownAddress();
  }

  /** Returns the registrars of a run of this node. */
  List<PeerAddress> of(RequestFingerprint request) {
    PeerAddress first = highest(request, null, "");
    if (first == null) {
      return List.of();
    }
    PeerAddress second = highest(request, first, peers.zoneOf(first));
    if (second == null) {
      second = highest(request, first, "");
    }
    return second == null ? List.of(first) : List.of(first, second);
  }

  private Collection<PeerAddress> nearPeers() {
    Collection<PeerAddress> inRegion = peers.peersInRegion();
    return inRegion.size() < REGISTRARS ? peers.peers() : inRegion;
  }

  /**
   * Returns the peer of the highest rank, or null.
   *
   * @param other a peer that is left out; null if there is none
   * @param otherZone the zone of peers that are left out; empty if there is none
   */
  private PeerAddress highest(RequestFingerprint request, PeerAddress other, String otherZone) {
    PeerAddress highest = null;
    int highestRank = 0;
    for (PeerAddress peer : nearPeers()) {
      boolean leftOut =
          peer.equals(other)
              || !otherZone.isEmpty() && peers.zoneOf(peer).equals(otherZone)
              || !isCandidate(peer);
      int rank = leftOut ? 0 : rank(peer, request);
      if (!leftOut && (highest == null || rank > highestRank)) {
        highest = peer;
        highestRank = rank;
      }
    }
    return highest;
  }

  /** Returns the number of peers, without a run's own node, that rank before this node. */
  int rankOfSelf(RequestFingerprint request, PeerAddress holder) {
    int own = rank(peers.ownAddress(), request);
    int rank = 0;
    for (PeerAddress peer : nearPeers()) {
      if (!peer.equals(holder) && isCandidate(peer) && rank(peer, request) > own) {
        rank++;
      }
    }
    return rank;
  }

  private static int rank(PeerAddress node, RequestFingerprint request) {
    return StableHash.of(node.host(), node.port() ^ request.value());
  }
}
