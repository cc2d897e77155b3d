package org.baykeel.gateway.http;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import org.baykeel.gateway.directory.Engine;

/** The connections of this node to one engine. */
final class EngineConnectionPool {
  private final Engine engine;
  private final ArrayDeque<EngineConnection> idle = new ArrayDeque<>();
  private int open;
  private int connected;

  EngineConnectionPool(Engine engine) {
    this.engine = engine;
  }

  Engine engine() {
    return engine;
  }

  int open() {
    return open;
  }

  void onOpened() {
    open++;
  }

  /** Records that a connection that was opened is established. */
  void onConnected() {
    connected++;
  }

  /** Whether a connection is established and not closed. */
  boolean connected() {
    return connected > 0;
  }

  /**
   * Takes the most recently used connection that the engine is not about to close and that has not
   * carried the request; those that have stay in the pool.
   *
   * @return null if there is none
   */
  EngineConnection takeIdle(long nowNanos, String requestId) {
    Iterator<EngineConnection> mostRecentFirst = idle.descendingIterator();
    while (mostRecentFirst.hasNext()) {
      EngineConnection candidate = mostRecentFirst.next();
      if (candidate.hasCarried(requestId)) {
        continue;
      }
      mostRecentFirst.remove();
      if (candidate.usable(nowNanos)) {
        return candidate;
      }
      candidate.close();
    }
    return null;
  }

  /**
   * Closes the least recently used idle connection, so that another one may be opened.
   *
   * @return false if none is idle
   */
  boolean closeOldestIdle() {
    EngineConnection oldest = idle.pollFirst();
    if (oldest == null) {
      return false;
    }
    oldest.close();
    onClosed(oldest);
    return true;
  }

  void release(EngineConnection connection) {
    idle.addLast(connection);
  }

  /**
   * Closes all idle connections after a reused one stayed silent: they may be dead for the same
   * reason, and a request that may run only once must not be lost on one of them.
   *
   * @return the number of connections closed
   */
  int closeIdle() {
    List<EngineConnection> closing = new ArrayList<>(idle);
    idle.clear();
    closing.forEach(EngineConnection::close);
    return closing.size();
  }

  void onClosed(EngineConnection connection) {
    if (connection.markClosed()) {
      open--;
      connected -= connection.connected() ? 1 : 0;
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
