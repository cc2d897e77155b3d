package org.baykeel.gateway.peer;

import org.baykeel.gateway.runtime.EventLoop;

/**
 * The identifiers of a node's queries to its peers. They begin at the time at which the node
 * started, in nanoseconds, so that none is that of a query from an earlier incarnation at the same
 * address, whose replies may still arrive.
 */
public final class QueryIds {
  private long last;

  /** Creates the identifiers of a node that starts now. */
  public QueryIds(EventLoop eventLoop) {
    last = eventLoop.nanoTime();
  }

  /** Returns an identifier that was not returned before. */
  public long next() {
    return ++last;
  }
}
