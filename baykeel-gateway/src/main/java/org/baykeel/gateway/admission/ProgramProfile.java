package org.baykeel.gateway.admission;

import java.util.Comparator;
import java.util.HashSet;
import java.util.PriorityQueue;
import java.util.Set;

/**
 * What programs of one kind take, learnt from this process's own requests. Turns and openings are
 * counted apart and over all programs, so that the ratio holds also where the turns of one program
 * come through many nodes.
 */
final class ProgramProfile {
  /** Within this time a count loses most of its weight. */
  private static final double DECAY_NANOS = 60e9;

  private static final double MIN_STARTS = 5;

  /** Weight of one pause; about the last thirty count. */
  private static final double PAUSE_SMOOTHING = 0.033;

  private static final int MAX_TOOLS = 8;

  /**
   * A program's turns come after its opening, on average by half of its time; openings are counted
   * so much later, else turns would seem few while demand grows. The half is about this part of the
   * aim.
   */
  private static final double HALF_DURATION_PART_OF_TARGET = 1.0 / 3;

  /** Programs that began and are not counted yet, in the order in which they are. */
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

  /** A turn of a program's first line began. */
  void turnStarted(long nowNanos) {
    decay(nowNanos);
    turns++;
  }

  /**
   * A program began.
   *
   * @param finishTargetMillis the time within which it should be over; 0 or less if unknown
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

  /** Notes the time from the end of a turn to the next one of the same line. */
  void observePause(double millis) {
    pauseMillis = pauseObserved ? pauseMillis + PAUSE_SMOOTHING * (millis - pauseMillis) : millis;
    pauseObserved = true;
  }

  /** A program called an engine of this service between two turns. */
  void toolCalled(String service) {
    if (toolServices.size() < MAX_TOOLS) {
      toolServices.add(service);
    }
  }

  /** The services that programs of this kind call between two turns. */
  Set<String> toolServices() {
    return toolServices;
  }

  /**
   * Whether enough was seen to predict by. Before the first programs are over, turns are counted
   * too low against openings.
   */
  boolean hasEnoughObservations(long nowNanos) {
    return starts >= MIN_STARTS
        && finishTargets >= MIN_STARTS
        && nowNanos - sinceNanos >= finishTargetMillis() * 1e6;
  }

  /** Turns of a program's first line; at least 1. */
  double turnsPerProgram() {
    return starts == 0 ? 1 : Math.max(1, turns / starts);
  }

  /** The mean time within which programs should be over, in milliseconds. */
  double finishTargetMillis() {
    return finishTargets == 0 ? 0 : sumFinishTargetMillis / finishTargets;
  }

  /** The time between two turns, in milliseconds; 0 before one was seen. */
  double pauseMillis() {
    return pauseMillis;
  }
}
