/**
 * Decides whether programs may start. The classes keep, for each service and route, the predicted
 * duration of a program, the capacity of the service and the share of first turns that are
 * admitted, all learned by this node and used only from its event loop. The {@code call} package
 * requests a decision for each first turn; a turn of a program that is known to have started is
 * never refused.
 */
package org.baykeel.gateway.admission;
