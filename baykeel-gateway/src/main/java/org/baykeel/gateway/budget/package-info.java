/**
 * Token budgets of programs. Each node holds, in memory, tokens that were granted to it in the
 * store, and the call package reserves the tokens of a turn from them before any are sent to the
 * caller. Invariant: the granted tokens in the store are at least those that all nodes have used or
 * may still use.
 */
package org.baykeel.gateway.budget;
