package org.baykeel.gateway.quarantine;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.baykeel.gateway.peer.PeerAddress;
import org.baykeel.gateway.peer.PeerDirectory;
import org.baykeel.gateway.runtime.EventLoop;

/**
 * Finds out which peers respond, since the addresses of nodes that are gone remain known. A peer
 * that has sent nothing for a while is queried with the next message that needs it; it counts as
 * gone if it sends nothing after that either, until it sends something.
 */
final class PeerResponsiveness {
  /** A peer that sent something within this time is not queried. */
  private static final long HEARD_NANOS = 10_000_000_000L;

  /** A peer responds within this time, even if its event loop lags. */
  private static final long REPLY_NANOS = 500_000_000L;

  private final PeerDirectory peers;
  private final EventLoop eventLoop;
  private final Map<PeerAddress, Long> queriedNanos = new HashMap<>();

  PeerResponsiveness(PeerDirectory peers, EventLoop eventLoop) {
    this.peers = peers;
    this.eventLoop = eventLoop;
  }

  /** Returns whether a peer has not left a query unanswered. */
  boolean isResponsive(PeerAddress peer) {
    Long queried = queriedNanos.get(peer);
    if (queried == null) {
      return true;
    }
    if (heardSince(peer, queried)) {
      queriedNanos.remove(peer);
      return true;
    }
    return eventLoop.nanoTime() - queried < REPLY_NANOS;
  }

  /** Returns whether a peer must be queried now; it is then taken as queried. */
  boolean beginQuery(PeerAddress peer) {
    long now = eventLoop.nanoTime();
    if (queriedNanos.containsKey(peer) || heardSince(peer, now - HEARD_NANOS)) {
      return false;
    }
    queriedNanos.put(peer, now);
    return true;
  }

  /** Returns whether a peer has sent anything since a time, by the event loop's clock. */
  boolean heardSince(PeerAddress peer, long nanos) {
    OptionalLong heard = peers.heardNanos(peer);
    return heard.isPresent() && heard.getAsLong() - nanos >= 0;
  }
}
