package org.baykeel.core.scheduling;

import static java.util.Objects.requireNonNull;

import org.baykeel.core.configuration.Declarations.Engine;

/**
 * One engine as a selector sees it.
 *
 * @param engine its declaration
 * @param load requests believed to be in its batch or queue, this node's own included
 * @param cachedTokens tokens of the call's prompt that it is believed to hold in its cache
 */
public record EngineView(Engine engine, int load, int cachedTokens) {
  public EngineView {
    requireNonNull(engine, "engine");
  }

  /** Load as a share of what the engine runs without queueing. */
  public double relativeLoad() {
    return (double) load / engine.concurrency();
  }
}
