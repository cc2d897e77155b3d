package org.baykeel.gateway.quarantine;

import org.baykeel.gateway.peer.QueryIds;
import org.baykeel.gateway.runtime.EventLoop;
import org.baykeel.gateway.scheduling.StableHash;

/** The identifiers of one node's runs, which also tell the node and its incarnation. */
final class RunIds {
  private static final int NODE_BITS = 16;
  private static final int NODE_MASK = (1 << NODE_BITS) - 1;

  private final QueryIds ids;
  private final int nodeBits;
  private final long firstId;

  /**
   * Creates the identifiers of a node that starts now.
   *
   * @param nodeName distinguishes the runs of nodes that started at the same time
   */
  RunIds(String nodeName, EventLoop eventLoop) {
    this.ids = new QueryIds(eventLoop);
    this.nodeBits = StableHash.of(nodeName) & NODE_MASK;
    this.firstId = next();
  }

  /** Returns an identifier that was not returned before. */
  long next() {
    return (ids.next() << NODE_BITS) | nodeBits;
  }

  boolean isOfThisIncarnation(long id) {
    return isOfThisNode(id) && id - firstId >= 0;
  }

  boolean isOfThisNode(long id) {
    return (id & NODE_MASK) == nodeBits;
  }
}
