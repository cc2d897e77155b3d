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

  /**
   * Creates a configuration.
   *
   * @param version rises with every change
   */
  public GatewayConfiguration(
      long version, List<Route> routes, List<ServiceProfile> services, RequestLimits limits) {
    this(version, routes, services, limits, TenantDirectory.NONE);
  }

  /**
   * Creates a configuration with tenants.
   *
   * @param version rises with every change
   * @param tenants who may call; where there are none, callers need no key
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

  /** The version, which rises with every change. */
  public long version() {
    return version;
  }

  /** How many routes there are. */
  public int routeCount() {
    return routeCount;
  }

  /** Whether any route or tenant is bound to regions. */
  public boolean boundToRegions() {
    return boundToRegions;
  }

  /** Who may call. */
  public TenantDirectory tenants() {
    return tenants;
  }

  /** Bounds on what a caller may send. */
  public RequestLimits limits() {
    return limits;
  }

  /**
   * The route with the longest prefix of the path among those of the host.
   *
   * @param host the authority as the caller sent it, with or without a port
   * @return the route, or null if none applies
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

  /** The profile of a service, or null if the configuration has none of that name. */
  public ServiceProfile service(String name) {
    return services.get(name);
  }

  private static String hostName(String authority) {
    int colon = authority.indexOf(':');
    String name = colon < 0 ? authority : authority.substring(0, colon);
    return name.toLowerCase(Locale.ROOT);
  }
}
