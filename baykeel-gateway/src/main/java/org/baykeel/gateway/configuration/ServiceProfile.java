package org.baykeel.gateway.configuration;

/**
 * What the operator states about a service.
 *
 * @param name the name that routes and engines refer to
 * @param maxConnections connections that one of its engines accepts from all callers together
 * @param tokensPerEvent tokens generated for each event of a stream; 0 where none are counted
 */
public record ServiceProfile(String name, int maxConnections, int tokensPerEvent) {}
