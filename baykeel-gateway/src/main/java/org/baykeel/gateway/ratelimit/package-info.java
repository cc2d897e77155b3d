/**
 * Limits on the requests of a tenant over all nodes together. Tenants are spread over partitions.
 * One node at a time holds the lease of a partition and the token buckets of its tenants; other
 * nodes request tokens from it. The call package queries the limiter before it runs a request.
 * Invariant: at any time at most one process considers itself the holder of a partition.
 */
package org.baykeel.gateway.ratelimit;
