package org.baykeel.gateway.configuration;

/**
 * The operator's settings of a service.
 *
 * @param name the name that routes and engines refer to
 * @param maxConnections the connections that one of its engines accepts from all its clients
 *     together
 * @param tokensPerEvent the tokens generated for each event of a stream; 0 if tokens are not
 *     counted
 * @param coldStartMillis how long one of its engines stays cold after a start, in milliseconds; 0
 *     if it is never cold
 * @param coldRequestsPerSecond the requests per second that a cold engine can handle from all nodes
 *     together
 */
public record ServiceProfile(
    String name,
    int maxConnections,
    int tokensPerEvent,
    long coldStartMillis,
    double coldRequestsPerSecond) {

  /** Creates the profile of a service whose engines are never cold. */
  public ServiceProfile(String name, int maxConnections, int tokensPerEvent) {
    this(name, maxConnections, tokensPerEvent, 0, 0);
  }
}
