/**
 * The known peers and the datagrams that nodes exchange about engines, programs and rate limits.
 * Load sharing, handover, rate limiting and key checks send and receive them on the event loop. The
 * state is soft: only each node's address and zone are in the store, and messages may be lost,
 * duplicated or late.
 */
package org.baykeel.gateway.peer;
