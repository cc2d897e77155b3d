package org.baykeel.gateway.scheduling;

import java.util.List;
import java.util.random.RandomGenerator;
import org.baykeel.gateway.directory.Engine;

/**
 * Predicts from the load view how long a request waits at an engine.
 *
 * <p>The load view is delayed and nearly the same at all nodes, so an engine that looks empty would
 * get the requests of all of them until its next report. Therefore the reported wait of an engine
 * that differs from the mean of the candidates is used only in a part of the selections, and the
 * mean in the others. The part is such that, at the rate at which the engines complete requests,
 * just enough requests follow the reported wait within the age of the view to level out the
 * difference. A difference that is small compared with the requests of that time is therefore
 * rarely used, and one that they could not level out is always used.
 *
 * <p>Serves one selection at a time; {@link #begin} starts each.
 */
final class WaitPrediction {
  private final RandomGenerator random;
  private boolean stream;
  private long nowNanos;
  private double meanMillis;
  private int totalRunning;

  /**
   * Creates a prediction.
   *
   * @param random decides in which selections the reported wait is used
   */
  WaitPrediction(RandomGenerator random) {
    this.random = random;
  }

  /**
   * Starts a selection.
   *
   * @param engines the candidates, which may run the request
   * @param stream whether the request is a stream
   */
  void begin(List<Engine> engines, boolean stream, long nowNanos) {
    this.stream = stream;
    this.nowNanos = nowNanos;
    totalRunning = 0;
    int knownEngines = 0;
    double sumMillis = 0;
    for (Engine engine : engines) {
      if (known(engine)) {
        knownEngines++;
        totalRunning += running(engine);
        sumMillis += reportedMillis(engine);
      }
    }
    meanMillis = knownEngines == 0 ? 0 : sumMillis / knownEngines;
  }

  /** Returns whether the load view has a current report of an engine. */
  boolean known(Engine engine) {
    return engine.load().known(nowNanos);
  }

  /** Returns the wait at an engine of known load according to the load view, in milliseconds. */
  double reportedMillis(Engine engine) {
    return engine.load().waiting(slots(engine), nowNanos) * slotMillis(engine);
  }

  /**
   * Returns the predicted wait at an engine of known load, in milliseconds, for a request that
   * loses no cached prompt by running at another engine.
   */
  double expectedMillis(Engine engine) {
    double reported = reportedMillis(engine);
    boolean shorter = reported <= meanMillis;
    double difference = Math.abs(reported - meanMillis) / slotMillis(engine);
    if (shorter) {
      difference += Math.max(0, slots(engine) - engine.load().requests(nowNanos));
    }
    double arrivals =
        (shorter ? totalRunning : running(engine)) * ageMillis(engine) / responseMillis(engine);
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

  /** Returns the usual time until one of an engine's slots is free while all are taken. */
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
