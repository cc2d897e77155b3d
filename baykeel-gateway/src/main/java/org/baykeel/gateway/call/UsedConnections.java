package org.baykeel.gateway.call;

import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.Set;

/**
 * The connections to engines on which a request was sent. A response is attributed to its request
 * by the request's identifier alone, and an engine may send a second copy of a response later on
 * the same connection. A request is therefore sent on a connection at most once: whatever comes
 * with its identifier is then the response to this send, or a copy of it.
 */
public final class UsedConnections {
  private final Set<Object> connections = Collections.newSetFromMap(new IdentityHashMap<>(2));

  /** Records that the request is sent on a connection. */
  public void add(Object connection) {
    connections.add(connection);
  }

  /** Whether the request was sent on a connection. */
  public boolean contains(Object connection) {
    return connections.contains(connection);
  }
}
