/**
 * Tenants and their API keys. The package authenticates the keys of requests for the call package
 * and tracks, per process, up to when the active configuration is proven to be the newest.
 * Invariant: a key is accepted or rejected only if that proof is recent enough.
 */
package org.baykeel.gateway.tenancy;
