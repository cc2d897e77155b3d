/**
 * Calls to the store's service, directly or through another node, and the choice between the two.
 */
package org.baykeel.gateway.remote;
