/** Turns that callers continue by reference: kept in the store, cached in memory. */
package org.baykeel.gateway.history;
