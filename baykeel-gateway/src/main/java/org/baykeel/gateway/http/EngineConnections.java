package org.baykeel.gateway.http;

import java.util.ArrayDeque;
import java.util.ArrayList;
import org.baykeel.gateway.directory.Engine;

/** The connections of this process to one engine. */
final class EngineConnections {
  private final Engine engine;
  private final ArrayDeque<EngineConnection> idle = new ArrayDeque<>();
  private int open;

  EngineConnections(Engine engine) {
    this.engine = engine;
  }

  Engine engine() {
    return engine;
  }

  int open() {
    return open;
  }

  void opened() {
    open++;
  }

  /** The connection used last that the engine is not about to close; null if there is none. */
  EngineConnection takeIdle(long nowNanos) {
    EngineConnection candidate;
    while ((candidate = idle.pollLast()) != null) {
      if (candidate.usable(nowNanos)) {
        return candidate;
      }
      candidate.close();
    }
    return null;
  }

  void release(EngineConnection connection) {
    idle.addLast(connection);
  }

  void closed(EngineConnection connection) {
    if (connection.markClosed()) {
      open--;
      idle.remove(connection);
    }
  }

  void closeExpired(long nowNanos) {
    for (EngineConnection connection : new ArrayList<>(idle)) {
      if (engine.removed() || engine.record().draining() || !connection.usable(nowNanos)) {
        connection.close();
      }
    }
  }
}
