package org.baykeel.gateway.admission;

import java.util.Comparator;
import java.util.HashSet;
import java.util.PriorityQueue;
import java.util.Set;

/**
 * The typical number of turns, pause and finish target of the programs of one route, learned from
 * this node's own requests. Turns and program starts are counted separately and over all programs,
 * so that their ratio also holds where the turns of one program arrive at many nodes.
 */
final class ProgramProfile {
  /** Time constant of the exponential decay of the counts. */
  private static final double DECAY_NANOS = 60e9;

  private static final double MIN_STARTS = 5;

  /** Weight of one pause; about the last thirty count. */
  private static final double PAUSE_SMOOTHING = 0.033;

  private static final int MAX_TOOLS = 8;

  /**
   * The turns of a program follow its start, on average by half of its duration. Program starts are
   * counted with that delay, since otherwise the number of turns per program would be
   * underestimated while demand grows. Half of the duration is about this part of the finish
   * target.
   */
  private static final double HALF_DURATION_PART_OF_TARGET = 1.0 / 3;

  /** Programs that have started and are not counted yet, in the order in which they will be. */
  private final PriorityQueue<Start> uncounted =
      new PriorityQueue<>(Comparator.comparingLong(Start::countNanos));

  private final Set<String> toolServices = new HashSet<>();
  private double turns;
  private double starts;
  private double finishTargets;
  private double sumFinishTargetMillis;
  private double pauseMillis;
  private boolean pauseObserved;
  private boolean initialized;
  private long sinceNanos;
  private long decayedNanos;

  private record Start(long countNanos, long finishTargetMillis) {}

  /** Records the start of a turn in a program's first conversation. */
  void turnStarted(long nowNanos) {
    decay(nowNanos);
    turns++;
  }

  /**
   * Records that a program started.
   *
   * @param finishTargetMillis the time within which it should finish; 0 or less if unknown
   */
  void programStarted(long finishTargetMillis, long nowNanos) {
    if (!initialized) {
      decay(nowNanos);
    }
    long halfNanos =
        Math.round(Math.max(0, finishTargetMillis) * 1e6 * HALF_DURATION_PART_OF_TARGET);
    uncounted.add(new Start(nowNanos + halfNanos, finishTargetMillis));
  }

  private void count(Start start) {
    starts++;
    if (start.finishTargetMillis() > 0) {
      finishTargets++;
      sumFinishTargetMillis += start.finishTargetMillis();
    }
  }

  private void decay(long nowNanos) {
    if (!initialized) {
      initialized = true;
      sinceNanos = nowNanos;
    } else {
      double factor = Math.exp(-(nowNanos - decayedNanos) / DECAY_NANOS);
      turns *= factor;
      starts *= factor;
      finishTargets *= factor;
      sumFinishTargetMillis *= factor;
    }
    decayedNanos = nowNanos;
    while (!uncounted.isEmpty() && nowNanos - uncounted.peek().countNanos() >= 0) {
      count(uncounted.poll());
    }
  }

  /** Adds the time from the end of a turn to the next one of the same conversation. */
  void observePause(double millis) {
    pauseMillis = pauseObserved ? pauseMillis + PAUSE_SMOOTHING * (millis - pauseMillis) : millis;
    pauseObserved = true;
  }

  /** Records that a program called an engine of another service between two turns. */
  void toolCalled(String service) {
    if (toolServices.size() < MAX_TOOLS) {
      toolServices.add(service);
    }
  }

  /** The services that programs of this route call between two turns. */
  Set<String> toolServices() {
    return toolServices;
  }

  /**
   * Whether there are enough observations for a prediction. Before the first programs have
   * finished, the number of turns per program is underestimated.
   */
  boolean hasEnoughObservations(long nowNanos) {
    return starts >= MIN_STARTS
        && finishTargets >= MIN_STARTS
        && nowNanos - sinceNanos >= finishTargetMillis() * 1e6;
  }

  /** The number of turns in a program's first conversation; at least 1. */
  double turnsPerProgram() {
    return starts == 0 ? 1 : Math.max(1, turns / starts);
  }

  /** The mean finish target, in milliseconds. */
  double finishTargetMillis() {
    return finishTargets == 0 ? 0 : sumFinishTargetMillis / finishTargets;
  }

  /** The time between two turns, in milliseconds; 0 before one was observed. */
  double pauseMillis() {
    return pauseMillis;
  }
}
