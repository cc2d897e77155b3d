/**
 * Calls to the store's service, directly or through a relay node. The failover client selects the
 * path of each call from the outcomes of earlier calls on the direct path and at the relay nodes,
 * which are its state. It is used by the adapter of the durable store, and by the link server for
 * calls that this node relays, both on the event loop. A call is reported as not sent or refused
 * only if no copy of it can have been executed.
 */
package org.baykeel.gateway.remote;
