/**
 * The order in which engines take the requests that wait for them. The call package queries {@link
 * org.baykeel.gateway.urgency.Urgency} for the rank of each request that it sends. The state is the
 * usual time until the finish target for each route, and a limited number of programs that sent
 * requests to this node.
 */
package org.baykeel.gateway.urgency;
