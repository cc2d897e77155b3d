package org.baykeel.core.edge;

import org.baykeel.core.message.CallerReply;
import org.baykeel.core.message.MemberId;
import org.baykeel.core.message.PeerMessage;

/** What the caller edge does to the outside. */
public interface EdgeOutput {
  /** Sends a message to a member; the member may be this node itself. */
  void send(MemberId to, PeerMessage message);

  /** Gives a piece of an answer to the caller's connection. */
  void deliver(long requestId, CallerReply reply);
}
