package org.baykeel.gateway.call;

import org.baykeel.gateway.configuration.Route;
import org.baykeel.gateway.runtime.EventLoop;

/**
 * Detects that the engine of a repeatable request has been silent for too long. Runs from the first
 * send to the end of the request, across engines.
 */
final class SilenceWatch {
  private final EventLoop eventLoop;
  private final Route route;
  private final Runnable onSilence;
  private EventLoop.Timer timer;
  private long lastReceivedNanos;
  private long firstEventNanos;
  private boolean paused;

  /**
   * Creates a watch that has not started.
   *
   * @param route determines how long an engine may be silent
   * @param onSilence runs each time a check finds that the engine has been silent for that long; a
   *     check follows the one before after that time
   */
  SilenceWatch(EventLoop eventLoop, Route route, Runnable onSilence) {
    this.eventLoop = eventLoop;
    this.route = route;
    this.onSilence = onSilence;
  }

  /** Records that the request was sent to an engine; starts the watch if it has not started. */
  void sent() {
    lastReceivedNanos = eventLoop.nanoTime();
    if (route.repeatable() && timer == null) {
      timer = eventLoop.scheduleTimeLimit(allowedMillis(), this::check);
    }
  }

  /** Records that data arrived from the engine. */
  void dataReceived() {
    lastReceivedNanos = eventLoop.nanoTime();
  }

  /** Suspends the watch while the engine is not read. */
  void pause() {
    paused = true;
  }

  /** Resumes the watch: the engine is read again. */
  void resume() {
    paused = false;
    dataReceived();
  }

  /** Records that an event arrived from the engine. */
  void eventReceived() {
    if (firstEventNanos == 0) {
      firstEventNanos = eventLoop.nanoTime();
    }
  }

  /** When the first event arrived; 0 if none did. */
  long firstEventNanos() {
    return firstEventNanos;
  }

  /** Ends the watch. */
  void end() {
    if (timer != null) {
      timer.cancel();
    }
  }

  private long allowedMillis() {
    return route.silenceTimeoutMillis(firstEventNanos != 0);
  }

  private void check() {
    timer = eventLoop.scheduleTimeLimit(allowedMillis(), this::check);
    if (!paused && eventLoop.nanoTime() - lastReceivedNanos >= allowedMillis() * 1_000_000) {
      onSilence.run();
    }
  }
}
