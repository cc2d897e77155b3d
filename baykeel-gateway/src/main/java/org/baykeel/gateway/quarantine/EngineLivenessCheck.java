package org.baykeel.gateway.quarantine;

import java.util.function.Consumer;
import org.baykeel.gateway.directory.Engine;

/** Finds out whether the process of an engine, to which a connection was lost, still runs. */
public interface EngineLivenessCheck {

  /**
   * Looks at the connections to an engine and, if there are none, at what its address does within a
   * short time.
   *
   * @param answer is called exactly once on the event loop, possibly before this method returns
   */
  void check(Engine engine, Consumer<EngineLiveness> answer);

  /**
   * Asks which engine responds, over a new connection, and waits for a response longer than a
   * check.
   *
   * @param answer is called exactly once on the event loop, possibly before this method returns
   */
  void ask(Engine engine, Consumer<EngineLiveness> answer);
}
