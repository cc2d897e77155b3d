package org.baykeel.gateway.call;

import org.baykeel.gateway.directory.Engine;
import org.baykeel.gateway.runtime.EventLoop;

/**
 * Lets a request wait while all engines are full. Their places come free one after the other, and a
 * refusal may cost the whole program, so it waits for a part of its time.
 */
final class RoomWait {
  /** The part of its time for which a request waits. */
  private static final double PART_OF_PATIENCE = 0.5;

  private static final long SHORTEST_MILLIS = 10;

  private final EventLoop eventLoop;
  private final long endNanos;
  private Engine fullEngine;
  private EventLoop.Timer timer;

  /**
   * Creates a wait that has not begun.
   *
   * @param receivedNanos when the request arrived
   * @param patienceMillis the time that it has from then on
   */
  RoomWait(EventLoop eventLoop, long receivedNanos, long patienceMillis) {
    this.eventLoop = eventLoop;
    this.endNanos = receivedNanos + Math.round(patienceMillis * 1e6 * PART_OF_PATIENCE);
  }

  /** An engine said that it has no place. */
  void full(Engine engine) {
    fullEngine = engine;
  }

  /**
   * Waits until a place is expected to be free.
   *
   * @param then runs after the wait
   * @return false if no engine is full, or the time for waiting is over
   */
  boolean begin(Runnable then) {
    if (fullEngine == null) {
      return false;
    }
    long millis = placeMillis(fullEngine);
    if (eventLoop.nanoTime() + millis * 1_000_000 - endNanos >= 0) {
      return false;
    }
    fullEngine = null;
    timer = eventLoop.schedule(millis, then);
    return true;
  }

  private static long placeMillis(Engine engine) {
    double places = Math.max(1, engine.record().slots());
    return Math.max(SHORTEST_MILLIS, Math.round(engine.performance().workMillis() / places));
  }

  /** Ends the wait. */
  void end() {
    if (timer != null) {
      timer.cancel();
    }
  }
}
