/**
 * The identifier of a program, which the packages for budgets, rate limits, handover and calls
 * share. The package holds no state.
 */
package org.baykeel.gateway.program;
