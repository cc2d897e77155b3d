package org.baykeel.gateway.configuration;

/**
 * A service that receives a share of a route's requests.
 *
 * @param service the name of the service
 * @param weight the share relative to the other backends of the same route; not negative
 */
public record Backend(String service, int weight) {}
