package org.baykeel.core.membership;

import org.baykeel.core.message.MemberId;
import org.baykeel.core.message.MemberUpdate;
import org.baykeel.core.message.PeerMessage;

/** What failure detection does to the outside. */
public interface MembershipOutput {
  /** Sends a message to a member. */
  void send(MemberId to, PeerMessage message);

  /** Sends a message to whoever listens at an address; used to join. */
  void sendToAddress(String host, int port, PeerMessage message);

  /**
   * A member became known or changed.
   *
   * @param previous what was believed before, or null
   */
  void memberChanged(MemberUpdate previous, MemberUpdate present);

  /** The newest configuration in force on this node, for the probe's header. */
  long configurationVersion();

  /** Digest of this node's shard routes, for the probe's header. */
  long routesDigest();

  /** Number of shards of which this node holds a replica, for the probe's header. */
  int replicas();
}
