/**
 * The exchange of engine load reports among nodes. For each engine one node of a region queries the
 * engine and publishes its report to the other nodes of the region; each node adopts the report
 * into the engine's {@link org.baykeel.gateway.directory.LoadEstimate}. The state is the last
 * report of each engine and the query schedule of this node. Reports are ordered by the moment that
 * they describe, and none replaces a newer one.
 */
package org.baykeel.gateway.load;
