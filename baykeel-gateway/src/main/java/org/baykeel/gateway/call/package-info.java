/**
 * Runs one call from its arrival to the end of its response: authorization, attempts at engines,
 * deadlines, resumption of streams and refusal. Keeps the state of the calls in progress, the
 * requests that wait for capacity, and the node's configuration and readiness; called by the HTTP
 * server on the event loop. A refusal promises that the request did not run only if that is true,
 * and a request that may run only once is never sent again while it may have run.
 */
package org.baykeel.gateway.call;
