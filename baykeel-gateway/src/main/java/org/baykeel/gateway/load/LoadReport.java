package org.baykeel.gateway.load;

import org.baykeel.gateway.directory.EngineLoad;

/**
 * What an engine says when it is asked for its load.
 *
 * @param load its load
 * @param startMillis when this life of the engine began, by the engine's clock; 0 if it did not say
 */
public record LoadReport(EngineLoad load, long startMillis) {}
