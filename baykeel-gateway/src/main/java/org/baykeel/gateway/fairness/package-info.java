/**
 * Distributes capacity among tenants while not every program may start. Keeps, for each group of
 * competing programs, samples of the tenants' recent use of their limits. Called by the {@code
 * admission} package on the event loop for each request to start a program; a tenant never gets
 * less than a quarter of the average share.
 */
package org.baykeel.gateway.fairness;
