package org.baykeel.gateway.directory;

/** Is notified when this node begins to suspect an engine because of its own requests. */
@FunctionalInterface
public interface EngineSuspicionListener {
  /** A listener that does nothing. */
  EngineSuspicionListener NONE = engine -> {};

  /**
   * Called when requests failed in a row at an engine that was not suspect until then.
   *
   * @param engine the engine
   */
  void engineSuspected(Engine engine);
}
