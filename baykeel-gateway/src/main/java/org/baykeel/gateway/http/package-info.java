/** HTTP/1.1 over Netty: callers' connections, connections to engines, and simple outgoing calls. */
package org.baykeel.gateway.http;
