/**
 * HTTP/1.1 over Netty: the connections of callers, the pooled connections to engines, and clients
 * for the store and for load reports. Its state is that of the connections, which the event loop
 * owns. A request to an engine ends with exactly one response or failure, unless it is cancelled.
 */
package org.baykeel.gateway.http;
