package org.baykeel.gateway.configuration;

/** How often a request of a route may run. */
public enum RouteKind {
  /** May run any number of times. */
  SAFE,
  /** May run at most once for each request identifier. */
  UNSAFE,
  /** Answers with a series of events; at most once, unless the route is resumable. */
  STREAMING
}
