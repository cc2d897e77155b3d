package org.baykeel.gateway.simulation;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.baykeel.gateway.call.EngineRequest;
import org.baykeel.gateway.call.EngineTransport;
import org.baykeel.gateway.call.ResponseHead;
import org.baykeel.gateway.call.ResponseTraits;
import org.baykeel.gateway.directory.Engine;
import org.baykeel.gateway.testing.EngineBodies;
import org.baykeel.gateway.testing.TestingEventLoop;

/**
 * Engines in virtual time that refuse requests, break connections, stop responding or respond, as a
 * seeded random generator decides.
 */
final class SimulatedEngines implements EngineTransport {
  static final int EVENTS = 6;
  static final int ENGINES = 4;

  private static final long INITIAL_START_MILLIS = 1_000;

  private final TestingEventLoop eventLoop;
  private final Random random;
  private final Map<String, Integer> runs = new HashMap<>();
  private final Map<String, String> bodies = new HashMap<>();
  private final Map<String, Long> startMillis = new HashMap<>();
  private final List<Run> inProgress = new ArrayList<>();

  SimulatedEngines(TestingEventLoop eventLoop, Random random) {
    this.eventLoop = eventLoop;
    this.random = random;
  }

  /** Returns the time at which an engine last started. */
  long startMillis(String engine) {
    return startMillis.getOrDefault(engine, INITIAL_START_MILLIS);
  }

  /**
   * Restarts an engine under its identifier. Its running requests are lost; their senders receive a
   * failure soon or never.
   */
  void restart(String engine) {
    startMillis.put(engine, startMillis(engine) + 1);
    for (Run run : List.copyOf(inProgress)) {
      if (run.engine.equals(engine)) {
        inProgress.remove(run);
        run.onEngineRestart();
      }
    }
  }

  /** Returns how often a request started to run, on all engines together. */
  int runs(String requestId) {
    return runs.getOrDefault(requestId, 0);
  }

  /** Returns the body with which a request ran last. */
  String body(String requestId) {
    return bodies.get(requestId);
  }

  /** One request at one engine. */
  private final class Run implements Exchange {
    private final String engine;
    private final EngineRequest request;
    private final Listener listener;
    private boolean cancelled;
    private boolean lost;

    Run(String engine, EngineRequest request, Listener listener) {
      this.engine = engine;
      this.request = request;
      this.listener = listener;
    }

    @Override
    public void cancel() {
      cancelled = true;
      inProgress.remove(this);
    }

    @Override
    public boolean isRequestWritten() {
      return true;
    }

    @Override
    public void pauseReading() {
      throw new IllegalStateException("reading is never paused");
    }

    @Override
    public void resumeReading() {
      throw new IllegalStateException("reading is never paused");
    }

    private void schedule(long millis, Runnable step) {
      eventLoop.schedule(
          millis,
          () -> {
            if (!cancelled && !lost) {
              step.run();
            }
          });
    }

    void onEngineRestart() {
      lost = true;
      if (random.nextInt(4) > 0) {
        eventLoop.schedule(
            random.nextInt(100),
            () -> {
              if (!cancelled) {
                listener.onFailure(Failure.BROKEN, "reset");
              }
            });
      }
    }

    private void finish(Runnable end) {
      inProgress.remove(this);
      end.run();
    }

    private String id() {
      return request.source().attributes().requestId();
    }

    void start() {
      int roll = random.nextInt(100);
      if (roll < 5) {
        schedule(2, () -> finish(() -> listener.onFailure(Failure.NOT_SENT, "refused")));
      } else if (roll < 12) {
        schedule(2, () -> finish(() -> listener.onHead(head(503, true))));
      } else {
        schedule(1 + random.nextInt(30), this::run);
      }
    }

    private void run() {
      runs.merge(id(), 1, Integer::sum);
      bodies.put(id(), EngineBodies.text(request.body()));
      if (random.nextInt(100) < 5) {
        return;
      }
      listener.onHead(head(200, false));
      event((int) Math.max(0, request.lastEventId()) + 1);
    }

    private void event(int number) {
      if (random.nextInt(100) < 2) {
        schedule(1, () -> finish(() -> listener.onFailure(Failure.BROKEN, "reset")));
      } else if (number > EVENTS) {
        schedule(1, () -> finish(listener::onComplete));
      } else {
        schedule(
            1 + random.nextInt(20),
            () -> {
              String text = "id: " + number + "\ndata: " + id() + '-' + number + "\n\n";
              listener.onBody(text.getBytes(StandardCharsets.UTF_8));
              event(number + 1);
            });
      }
    }
  }

  private static ResponseHead head(int status, boolean notExecuted) {
    ResponseTraits traits =
        new ResponseTraits("r", notExecuted, notExecuted ? null : "s", !notExecuted);
    return new ResponseHead(status, new DefaultHttpHeaders(), traits);
  }

  @Override
  public Exchange send(Engine engine, EngineRequest request, Listener listener) {
    Run run = new Run(engine.record().id(), request, listener);
    inProgress.add(run);
    run.start();
    return run;
  }
}
