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
  private static final double FORGETTING_NANOS = 60e9;

  private static final double LEAST_OPENINGS = 5;

  /** Weight of one pause; about the last thirty count. */
  private static final double PAUSE_SMOOTHING = 0.033;

  private static final int MOST_TOOLS = 8;

  /**
   * A program's turns come after its opening, on average by half of its time; openings are counted
   * so much later, else turns would seem few while demand grows. The half is about this part of the
   * aim.
   */
  private static final double HALF_PROGRAM_PART_OF_AIM = 1.0 / 3;

  /** Programs that began and are not counted yet, in the order in which they are. */
  private final PriorityQueue<Opened> uncounted =
      new PriorityQueue<>(Comparator.comparingLong(Opened::countNanos));

  private final Set<String> toolServices = new HashSet<>();
  private double turns;
  private double openings;
  private double aims;
  private double sumAimMillis;
  private double pauseMillis;
  private boolean pauseSeen;
  private boolean begun;
  private long sinceNanos;
  private long countedNanos;

  private record Opened(long countNanos, long aimMillis) {}

  /** A turn of a program's first line began. */
  void turnBegan(long nowNanos) {
    fade(nowNanos);
    turns++;
  }

  /**
   * A program began.
   *
   * @param aimMillis the time within which it should be over; 0 or less if unknown
   */
  void programOpened(long aimMillis, long nowNanos) {
    if (!begun) {
      fade(nowNanos);
    }
    long halfNanos = Math.round(Math.max(0, aimMillis) * 1e6 * HALF_PROGRAM_PART_OF_AIM);
    uncounted.add(new Opened(nowNanos + halfNanos, aimMillis));
  }

  private void count(Opened opened) {
    openings++;
    if (opened.aimMillis() > 0) {
      aims++;
      sumAimMillis += opened.aimMillis();
    }
  }

  private void fade(long nowNanos) {
    if (!begun) {
      begun = true;
      sinceNanos = nowNanos;
    } else {
      double kept = Math.exp(-(nowNanos - countedNanos) / FORGETTING_NANOS);
      turns *= kept;
      openings *= kept;
      aims *= kept;
      sumAimMillis *= kept;
    }
    countedNanos = nowNanos;
    while (!uncounted.isEmpty() && nowNanos - uncounted.peek().countNanos() >= 0) {
      count(uncounted.poll());
    }
  }

  /** Notes the time from the end of a turn to the next one of the same line. */
  void observePause(double millis) {
    pauseMillis = pauseSeen ? pauseMillis + PAUSE_SMOOTHING * (millis - pauseMillis) : millis;
    pauseSeen = true;
  }

  /** A program called an engine of this service between two turns. */
  void toolUsed(String service) {
    if (toolServices.size() < MOST_TOOLS) {
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
  boolean known(long nowNanos) {
    return openings >= LEAST_OPENINGS
        && aims >= LEAST_OPENINGS
        && nowNanos - sinceNanos >= aimMillis() * 1e6;
  }

  /** Turns of a program's first line; at least 1. */
  double turnsPerProgram() {
    return openings == 0 ? 1 : Math.max(1, turns / openings);
  }

  /** The mean time within which programs should be over, in milliseconds. */
  double aimMillis() {
    return aims == 0 ? 0 : sumAimMillis / aims;
  }

  /** The time between two turns, in milliseconds; 0 before one was seen. */
  double pauseMillis() {
    return pauseMillis;
  }
}
