/**
 * The shared view of the engines' load. For each engine one node of a region asks the engine's
 * report and tells it to the other nodes of the region; all put it into the engine's {@link
 * org.baykeel.gateway.directory.LoadEstimate}.
 */
package org.baykeel.gateway.load;
