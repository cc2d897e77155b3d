package org.baykeel.gateway.configuration;

/**
 * What the operator states about a service.
 *
 * @param name the name that routes and engines refer to
 * @param maxConnections connections that one of its engines accepts from all callers together
 * @param tokensPerEvent tokens generated for each event of a stream; 0 where none are counted
 * @param coldStartMillis how long one of its engines stays cold after a start; 0 if it never is
 * @param coldRequestsPerSecond requests that a cold engine bears in a second, of all nodes together
 */
public record ServiceProfile(
    String name,
    int maxConnections,
    int tokensPerEvent,
    long coldStartMillis,
    double coldRequestsPerSecond) {

  /** A service whose engines are never cold. */
  public ServiceProfile(String name, int maxConnections, int tokensPerEvent) {
    this(name, maxConnections, tokensPerEvent, 0, 0);
  }
}
