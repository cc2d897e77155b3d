/** Calls to the store that one node makes in place of another, over TCP. */
package org.baykeel.gateway.relay;
