/** Puts together what decides where requests run: places, cordons, residency and warm-up. */
package org.baykeel.gateway.placement;
