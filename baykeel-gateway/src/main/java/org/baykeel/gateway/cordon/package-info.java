/** Zones that the operator has taken out of service. */
package org.baykeel.gateway.cordon;
