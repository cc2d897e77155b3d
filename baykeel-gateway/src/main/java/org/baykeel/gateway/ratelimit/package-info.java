/**
 * Limits on the requests of a tenant at all nodes together. Tenants are spread over partitions; one
 * node at a time holds the lease of a partition and the token buckets of its tenants, and the
 * others ask it for tokens.
 */
package org.baykeel.gateway.ratelimit;
