/**
 * The Netty implementation of the datagram transport between nodes. Its only state is the bound
 * channel; the process setup creates it, and received datagrams are passed on by the event loop.
 */
package org.baykeel.gateway.datagram;
