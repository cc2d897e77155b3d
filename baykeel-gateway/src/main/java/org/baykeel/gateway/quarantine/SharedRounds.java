package org.baykeel.gateway.quarantine;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;
import org.baykeel.gateway.runtime.EventLoop;

/**
 * Rounds of an operation of the store, each for all callers that joined it before it began. So its
 * outcome is later than the time at which any of them joined.
 */
final class SharedRounds {
  private final Operation operation;
  private final LongSupplier pauseMillis;
  private final EventLoop eventLoop;
  private Round running;
  private Round waiting;
  private long begunNanos;

  /** An operation that takes some time. */
  @FunctionalInterface
  interface Operation {
    /**
     * Starts the operation.
     *
     * @param finished is called exactly once, when it has succeeded
     */
    void start(Runnable finished);
  }

  /** One round of the operation. */
  static final class Round {
    private final List<Runnable> listeners = new ArrayList<>();
    private boolean finished;

    boolean finished() {
      return finished;
    }

    /** Calls a listener when the round has finished, now if it has. */
    void onFinished(Runnable listener) {
      if (finished) {
        listener.run();
      } else {
        listeners.add(listener);
      }
    }

    private void finish() {
      finished = true;
      listeners.forEach(Runnable::run);
    }
  }

  /**
   * Creates rounds of which none runs.
   *
   * @param pauseMillis returns the time between two rounds, in milliseconds
   */
  SharedRounds(Operation operation, LongSupplier pauseMillis, EventLoop eventLoop) {
    this.operation = operation;
    this.pauseMillis = pauseMillis;
    this.eventLoop = eventLoop;
  }

  /** Returns a round that begins now or later. */
  Round join() {
    if (waiting == null) {
      waiting = new Round();
    }
    Round joined = waiting;
    if (running == null) {
      begin();
    }
    return joined;
  }

  /** Returns whether the round that runs has taken a time already. */
  boolean isDelayed(long nanos) {
    return running != null && !running.finished && eventLoop.nanoTime() - begunNanos >= nanos;
  }

  private void begin() {
    running = waiting;
    waiting = null;
    begunNanos = eventLoop.nanoTime();
    operation.start(this::finish);
  }

  private void finish() {
    Round finished = running;
    eventLoop.schedule(Math.max(1, pauseMillis.getAsLong()), this::next);
    finished.finish();
  }

  private void next() {
    if (waiting == null) {
      running = null;
    } else {
      begin();
    }
  }
}
