package org.baykeel.gateway.load;

import java.util.function.Consumer;
import org.baykeel.gateway.directory.Engine;

/** Asks engines for their load. */
@FunctionalInterface
public interface LoadReportClient {

  /**
   * Asks an engine; its caller has no other question to it under way.
   *
   * @param engine the engine
   * @param callback is called once, on the event loop, after a bounded time
   */
  void query(Engine engine, Consumer<LoadQueryResult> callback);
}
