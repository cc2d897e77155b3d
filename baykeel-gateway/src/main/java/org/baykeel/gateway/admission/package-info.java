/** Decides whether programs begin: the prediction of their end, the room of services, the share. */
package org.baykeel.gateway.admission;
