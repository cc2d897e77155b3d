package org.baykeel.gateway.scheduling;

import java.util.List;
import java.util.random.RandomGenerator;
import org.baykeel.gateway.directory.Engine;

/**
 * Predicts from the shared view of load how long an engine keeps a request waiting.
 *
 * <p>The view is late and nearly the same at all nodes, so an engine that looks empty would get the
 * work of all of them until the next report. Therefore an engine that differs from the mean of its
 * service is taken as it looks only in a part of the choices: as many as fill the difference while
 * the view is old, by the rate at which the engines end what they run. The other choices take it at
 * the mean. A difference that work of the view's own age would level out says next to nothing, and
 * one that it could not is always believed.
 *
 * <p>Used for one choice after the other: {@link #survey} begins each.
 */
final class WaitPrediction {
  private final RandomGenerator random;
  private boolean stream;
  private long nowNanos;
  private double meanMillis;
  private int running;

  /**
   * Creates a prediction.
   *
   * @param random decides which choices take an engine as it looks
   */
  WaitPrediction(RandomGenerator random) {
    this.random = random;
  }

  /**
   * Begins a choice.
   *
   * @param engines those that may run the request
   * @param stream whether the request is a stream
   */
  void begin(List<Engine> engines, boolean stream, long nowNanos) {
    this.stream = stream;
    this.nowNanos = nowNanos;
    running = 0;
    int known = 0;
    double sumMillis = 0;
    for (Engine engine : engines) {
      if (known(engine)) {
        known++;
        running += running(engine);
        sumMillis += reportedMillis(engine);
      }
    }
    meanMillis = known == 0 ? 0 : sumMillis / known;
  }

  /** Whether the shared view tells of an engine. */
  boolean known(Engine engine) {
    return engine.load().known(nowNanos);
  }

  /** The wait at an engine whose load is known, as the view has it, in milliseconds. */
  double reportedMillis(Engine engine) {
    return engine.load().waiting(slots(engine), nowNanos) * slotMillis(engine);
  }

  /** The wait at an engine whose load is known, for a request that has no tie to it. */
  double expectedMillis(Engine engine) {
    double reported = reportedMillis(engine);
    boolean shorter = reported <= meanMillis;
    double difference = Math.abs(reported - meanMillis) / slotMillis(engine);
    if (shorter) {
      difference += Math.max(0, slots(engine) - engine.load().requests(nowNanos));
    }
    double arrivals =
        (shorter ? running : running(engine)) * ageMillis(engine) / responseMillis(engine);
    return difference >= arrivals || random.nextDouble() * arrivals < difference
        ? reported
        : meanMillis;
  }

  private int running(Engine engine) {
    return engine.load().requests(nowNanos) - engine.load().waiting(slots(engine), nowNanos);
  }

  private double ageMillis(Engine engine) {
    return engine.load().ageNanos(nowNanos) / 1e6;
  }

  /** The usual time until one of an engine's places comes free while all are taken. */
  private double slotMillis(Engine engine) {
    return responseMillis(engine) / slots(engine);
  }

  private double responseMillis(Engine engine) {
    double millis =
        stream
            ? engine.performance().eventsPerStream() * engine.interEventMillis(nowNanos)
            : engine.performance().nonStreamMillis();
    return Math.max(1, millis);
  }

  private static int slots(Engine engine) {
    return Math.max(1, engine.record().slots());
  }
}
