/**
 * Connections between nodes, used to relay store calls and to hand over the grant and the turns of
 * a program. The state is one connection per peer with its pending requests. Every request
 * completes exactly once: with its response, at its time limit, or when its connection fails.
 */
package org.baykeel.gateway.link;
