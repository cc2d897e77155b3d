/**
 * Combines the parts that decide where requests run: topology, cordons, residency, warm-up and
 * memory. {@link org.baykeel.gateway.placement.Placement} holds the state of one node and is
 * created once at its start.
 */
package org.baykeel.gateway.placement;
