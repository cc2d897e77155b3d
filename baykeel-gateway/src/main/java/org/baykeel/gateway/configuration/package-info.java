/**
 * The operator's configuration as the gateway uses it: routes, services, request limits and
 * tenants. Its types are immutable. The node replaces the active configuration as a whole, and the
 * other packages read from it how a request is handled.
 */
package org.baykeel.gateway.configuration;
