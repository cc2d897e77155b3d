/**
 * Requests under which engines end: finds out which engines ended while they ran which requests,
 * shares that evidence among the nodes, and keeps a request that ended several engines from being
 * sent to further ones.
 */
package org.baykeel.gateway.quarantine;
