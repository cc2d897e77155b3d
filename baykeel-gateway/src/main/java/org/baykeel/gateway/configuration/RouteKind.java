package org.baykeel.gateway.configuration;

/** How often a request of a route may run. */
public enum RouteKind {
  /** A request may run any number of times. */
  SAFE,
  /** A request may run at most once for each request identifier. */
  UNSAFE,
  /**
   * The response is a stream of events. A request may run at most once, unless the route is
   * resumable.
   */
  STREAMING
}
