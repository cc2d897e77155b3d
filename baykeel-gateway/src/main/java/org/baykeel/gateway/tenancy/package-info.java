/** Tenants, their API keys, and whether the configuration that names them is recent enough. */
package org.baykeel.gateway.tenancy;
