package org.baykeel.gateway.configuration;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.baykeel.gateway.tenancy.TenantDirectory;

/** One version of the operator's configuration; immutable. */
public final class GatewayConfiguration {
  private final long version;
  private final Map<String, List<Route>> routesByHost;
  private final Map<String, ServiceProfile> services;
  private final RequestLimits limits;
  private final TenantDirectory tenants;
  private final int routeCount;
  private final boolean boundToRegions;
  private final long longestResumableMillis;

  /**
   * Creates a configuration without tenants.
   *
   * @param version increases with every change
   */
  public GatewayConfiguration(
      long version, List<Route> routes, List<ServiceProfile> services, RequestLimits limits) {
    this(version, routes, services, limits, TenantDirectory.NONE);
  }

  /**
   * Creates a configuration with tenants.
   *
   * @param version increases with every change
   * @param tenants the tenants that may send requests; if there are none, callers need no key
   */
  public GatewayConfiguration(
      long version,
      List<Route> routes,
      List<ServiceProfile> services,
      RequestLimits limits,
      TenantDirectory tenants) {
    this.version = version;
    this.tenants = tenants;
    this.limits = limits;
    this.routeCount = routes.size();
    this.boundToRegions =
        tenants.boundToRegions() || routes.stream().anyMatch(route -> route.residency().bound());
    this.longestResumableMillis =
        routes.stream().filter(Route::resumable).mapToLong(Route::timeoutMillis).max().orElse(0);
    this.routesByHost = indexByHost(routes);
    this.services = new HashMap<>();
    for (ServiceProfile service : services) {
      this.services.put(service.name(), service);
    }
  }

  private static Map<String, List<Route>> indexByHost(List<Route> routes) {
    Map<String, List<Route>> byHost = new HashMap<>();
    for (Route route : routes) {
      byHost.computeIfAbsent(route.host(), host -> new java.util.ArrayList<>()).add(route);
    }
    for (List<Route> ofHost : byHost.values()) {
      ofHost.sort((a, b) -> b.pathPrefix().length() - a.pathPrefix().length());
    }
    return byHost;
  }

  /** Returns the version, which increases with every change. */
  public long version() {
    return version;
  }

  /** Returns the number of routes. */
  public int routeCount() {
    return routeCount;
  }

  /** Returns whether any route or tenant is bound to regions. */
  public boolean boundToRegions() {
    return boundToRegions;
  }

  /**
   * Returns the longest time that a route holds a request whose stream may be resumed, in
   * milliseconds; 0 if there is no such route.
   */
  public long longestResumableMillis() {
    return longestResumableMillis;
  }

  /** Returns the tenants that may send requests. */
  public TenantDirectory tenants() {
    return tenants;
  }

  /** Returns the limits on the requests of callers. */
  public RequestLimits limits() {
    return limits;
  }

  /**
   * Finds the route of the host with the longest prefix of the path.
   *
   * @param host the authority as the caller sent it, with or without a port
   * @return the route, or null if none matches
   */
  public Route findRoute(String host, String path) {
    List<Route> ofHost = routesByHost.get(hostName(host));
    if (ofHost == null) {
      return null;
    }
    for (Route route : ofHost) {
      if (path.startsWith(route.pathPrefix())) {
        return route;
      }
    }
    return null;
  }

  /** Returns the profile of a service, or null if the configuration has no service of that name. */
  public ServiceProfile service(String name) {
    return services.get(name);
  }

  private static String hostName(String authority) {
    int colon = authority.indexOf(':');
    String name = colon < 0 ? authority : authority.substring(0, colon);
    return name.toLowerCase(Locale.ROOT);
  }
}
