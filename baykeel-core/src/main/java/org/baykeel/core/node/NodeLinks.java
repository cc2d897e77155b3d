package org.baykeel.core.node;

import org.baykeel.core.message.MemberId;
import org.baykeel.core.message.PeerMessage;
import org.baykeel.core.message.ShardRoute;

/** What the parts of a node's core need of the whole. */
interface NodeLinks {
  /** Sends a message to a member; the member may be this node itself. */
  void send(MemberId to, PeerMessage message);

  /** Sends a message to all other active members. */
  void sendToOthers(PeerMessage message);

  /** Takes in a route if it is newer. */
  void updateRoute(ShardRoute route);

  /** The time of the present event, in epoch milliseconds. */
  long now();
}
