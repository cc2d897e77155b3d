/**
 * Identifiers of programs and of requests, which the packages for budgets, rate limits, handover,
 * quarantine, messages and calls share. The package holds no state.
 */
package org.baykeel.gateway.program;
