package org.baykeel.gateway.load;

import org.baykeel.gateway.directory.EngineLoad;

/**
 * The report that an engine returns when it is queried for its load.
 *
 * @param load its load
 * @param startMillis when this incarnation of the engine started, in Unix milliseconds by the
 *     engine's clock; 0 if not given
 */
public record LoadReport(EngineLoad load, long startMillis) {}
