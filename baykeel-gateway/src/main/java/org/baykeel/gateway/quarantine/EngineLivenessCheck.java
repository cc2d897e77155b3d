package org.baykeel.gateway.quarantine;

import java.util.function.Consumer;
import org.baykeel.gateway.directory.Engine;

/** Finds out whether the process of an engine, to which a connection was lost, still runs. */
@FunctionalInterface
public interface EngineLivenessCheck {

  /**
   * Checks an engine.
   *
   * @param answer is called exactly once on the event loop, possibly before this method returns
   */
  void check(Engine engine, Consumer<EngineLiveness> answer);
}
