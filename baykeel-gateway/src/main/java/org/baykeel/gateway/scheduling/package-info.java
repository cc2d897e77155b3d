/**
 * Selects the service and the engine for each request on behalf of the call package. {@link
 * org.baykeel.gateway.scheduling.EngineSelector} compares the predicted cost of the engines that
 * all {@link org.baykeel.gateway.scheduling.EnginePolicy policies} allow. State is limited to the
 * round-robin credits of routes and the slow home engines; it is used only from the event loop,
 * which handles one selection at a time.
 */
package org.baykeel.gateway.scheduling;
