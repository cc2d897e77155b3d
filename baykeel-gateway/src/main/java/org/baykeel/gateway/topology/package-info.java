/**
 * The zones and regions of nodes and engines and the network latency between them. The only state
 * is the estimate of the round trip to each zone. It is used for engine selection, time limits and
 * metrics.
 */
package org.baykeel.gateway.topology;
