/**
 * The regions in which a request may run, be cached and be stored. Bindings are immutable values;
 * the call package intersects those of route and tenant, and the placement package applies the
 * result. An intersection never allows more than one of its parts.
 */
package org.baykeel.gateway.residency;
