package org.baykeel.gateway.quarantine;

import java.util.IdentityHashMap;
import java.util.Map;
import org.baykeel.gateway.directory.Engine;
import org.baykeel.gateway.runtime.EventLoop;

/**
 * Asks engines at which runs are unresolved whether they still run: one question at a time for each
 * engine, and less often the longer it gives no answer.
 */
final class EngineProver {
  private static final long MIN_PAUSE_MILLIS = 250;
  private static final long MAX_PAUSE_MILLIS = 30_000;
  private static final int MAX_DOUBLINGS = Integer.SIZE / 2;
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Knows the unresolved runs. */
  interface Listener {
    /**
     * Handles the answer to a question.
     *
     * @param askedNanos when the question was asked, by the event loop's clock
     * @param askedAfterRemoval whether the engine's entry was gone by then
     */
    void answered(
        Engine engine, EngineLiveness liveness, long askedNanos, boolean askedAfterRemoval);

    /**
     * Returns when the engine should be asked at the earliest, by the event loop's clock;
     * Long.MAX_VALUE if no run is unresolved there.
     */
    long nextQuestionNanos(Engine engine);
  }

  private final EngineLivenessCheck livenessCheck;
  private final EventLoop eventLoop;
  private final Listener listener;
  private final Map<Engine, Question> questions = new IdentityHashMap<>();

  /** The next question to one engine, which is scheduled or was asked. */
  private final class Question {
    private final Engine engine;
    private EventLoop.Timer timer;
    private boolean asked;
    private long dueNanos;
    private int unanswered;

    Question(Engine engine) {
      this.engine = engine;
    }

    private void schedule(long nanos) {
      if (asked || timer != null && nanos - dueNanos >= 0) {
        return;
      }
      if (timer != null) {
        timer.cancel();
      }
      dueNanos = nanos;
      long millis = Math.max(0, (nanos - eventLoop.nanoTime()) / NANOS_PER_MILLI);
      timer = eventLoop.schedule(millis, this::ask);
    }

    private void ask() {
      timer = null;
      if (listener.nextQuestionNanos(engine) == Long.MAX_VALUE) {
        questions.remove(engine);
        return;
      }
      asked = true;
      long askedNanos = eventLoop.nanoTime();
      boolean askedAfterRemoval = engine.removed();
      livenessCheck.ask(engine, liveness -> answered(liveness, askedNanos, askedAfterRemoval));
    }

    private void answered(EngineLiveness liveness, long askedNanos, boolean askedAfterRemoval) {
      unanswered =
          switch (liveness) {
            case RUNNING -> 0;
            case ENDED -> MAX_DOUBLINGS;
            default -> unanswered + 1;
          };
      listener.answered(engine, liveness, askedNanos, askedAfterRemoval);
      asked = false;
      long nextNanos = listener.nextQuestionNanos(engine);
      if (nextNanos == Long.MAX_VALUE) {
        questions.remove(engine);
      } else {
        long pauseNanos = pauseMillis() * NANOS_PER_MILLI;
        schedule(Math.max(nextNanos, eventLoop.nanoTime() + pauseNanos));
      }
    }

    private long pauseMillis() {
      int doublings = Math.min(unanswered, MAX_DOUBLINGS);
      return Math.min(MAX_PAUSE_MILLIS, MIN_PAUSE_MILLIS << doublings);
    }
  }

  EngineProver(EngineLivenessCheck livenessCheck, EventLoop eventLoop, Listener listener) {
    this.livenessCheck = livenessCheck;
    this.eventLoop = eventLoop;
    this.listener = listener;
  }

  /** Asks an engine at a given time, by the event loop's clock, unless it is asked before. */
  void askAt(Engine engine, long nanos) {
    questions.computeIfAbsent(engine, Question::new).schedule(nanos);
  }
}
