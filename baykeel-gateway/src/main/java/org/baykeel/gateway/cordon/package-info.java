/**
 * Zones that the operator has taken out of service. The state follows the operator's rows in the
 * store; {@link org.baykeel.gateway.cordon.CordonPolicy} applies it to each engine selection.
 * Nothing is sent to a cordoned zone after the time that {@link
 * org.baykeel.gateway.cordon.ZoneCordons} derives from the bound.
 */
package org.baykeel.gateway.cordon;
