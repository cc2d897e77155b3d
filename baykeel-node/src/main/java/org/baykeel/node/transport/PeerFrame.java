package org.baykeel.node.transport;

import org.baykeel.core.message.MemberId;
import org.baykeel.core.message.Payload;

/**
 * A frame between two nodes: who sent it to whom, then one SBE message.
 *
 * @param to the incarnation it is meant for, or {@link MemberId#NONE} for whoever listens
 */
record PeerFrame(MemberId from, MemberId to, Payload message) {
  /** Bytes of the two ids: a node number and an incarnation each. */
  static final int ADDRESSING_BYTES = 2 * (Integer.BYTES + Long.BYTES);
}
