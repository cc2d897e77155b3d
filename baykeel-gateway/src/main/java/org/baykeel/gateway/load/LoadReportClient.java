package org.baykeel.gateway.load;

import java.util.function.Consumer;
import org.baykeel.gateway.directory.Engine;

/** Queries engines for their load. */
@FunctionalInterface
public interface LoadReportClient {

  /**
   * Queries an engine. The caller has no other query to this engine in flight.
   *
   * @param engine the engine
   * @param callback is called once, on the event loop, after a bounded time
   */
  void query(Engine engine, Consumer<LoadQueryResult> callback);
}
