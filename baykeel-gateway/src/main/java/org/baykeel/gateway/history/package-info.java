/**
 * Completed turns that callers continue by reference. The store holds them, and each process caches
 * some of them in memory; the call package saves and looks up turns. Invariant: a turn is in the
 * store before the end of its response is sent.
 */
package org.baykeel.gateway.history;
