/**
 * The engines that can run requests, and this node's observations of each: cached prompt parts,
 * failures, waits, inter-event times and load. The entries of the store, load reports and the
 * node's own requests update the state; the scheduling package reads it to select engines. All of
 * it belongs to one incarnation of an engine and is dropped when the engine restarts, except for
 * {@link org.baykeel.gateway.directory.ServicePerformance}, which belongs to the service.
 */
package org.baykeel.gateway.directory;
