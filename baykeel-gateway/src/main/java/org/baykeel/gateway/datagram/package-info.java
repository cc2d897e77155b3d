/** Datagrams between nodes over Netty. */
package org.baykeel.gateway.datagram;
