package org.baykeel.gateway.configuration;

import java.util.List;

/**
 * One rule that sends requests of a host and path prefix to services.
 *
 * @param name the operator's name of the route
 * @param host the host it applies to, in lower case
 * @param pathPrefix the prefix of the path, beginning and ending with a slash
 * @param kind how often a request may run
 * @param timeoutMillis the longest time that a request may be held
 * @param targetLatencyMillis the time within which an answer has its full value
 * @param priority the rank among routes; 0 is the most urgent
 * @param backends the services that share the requests; never empty
 * @param attempts the largest number of engines to which one request may be sent
 * @param retained whether turns are kept and continued by reference
 * @param retentionMillis how long a kept turn must stay readable
 * @param sessionAffinity whether an engine works faster on what it has seen before
 * @param resumable whether a broken stream may be continued at another engine
 */
public record Route(
    String name,
    String host,
    String pathPrefix,
    RouteKind kind,
    long timeoutMillis,
    long targetLatencyMillis,
    int priority,
    List<Backend> backends,
    int attempts,
    boolean retained,
    long retentionMillis,
    boolean sessionAffinity,
    boolean resumable) {

  public Route {
    backends = List.copyOf(backends);
    if (backends.isEmpty()) {
      throw new IllegalArgumentException("route " + name + " has no backend");
    }
  }

  /** Whether a request may be sent to another engine after an unknown outcome. */
  public boolean repeatable() {
    return kind == RouteKind.SAFE || kind == RouteKind.STREAMING && resumable;
  }
}
