package org.baykeel.bench.simulation;

import java.util.Comparator;
import java.util.PriorityQueue;

/** A clock that jumps from event to event. Events at the same moment keep their order. */
public final class VirtualTime {
  private static final long START_MILLIS = 1_000_000;
  private static final int MICROS_PER_MILLI = 1_000;

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong((Event event) -> event.micros)
              .thenComparingLong(event -> event.sequence));
  private long nowMicros = START_MILLIS * MICROS_PER_MILLI;
  private long nextSequence;
  private long steps;

  private record Event(long micros, long sequence, Runnable action) {}

  /** The present moment in milliseconds. */
  public long millis() {
    return nowMicros / MICROS_PER_MILLI;
  }

  /** The present moment in microseconds. */
  public long micros() {
    return nowMicros;
  }

  /** Events handled so far. */
  public long steps() {
    return steps;
  }

  /** Runs an action after a delay. */
  public void after(long delayMicros, Runnable action) {
    events.add(new Event(nowMicros + Math.max(0, delayMicros), nextSequence++, action));
  }

  /** Runs an action after a delay in milliseconds. */
  public void afterMillis(long delayMillis, Runnable action) {
    after(delayMillis * MICROS_PER_MILLI, action);
  }

  /** Handles events up to a moment, in milliseconds. */
  public void runUntil(long limitMillis) {
    long limitMicros = limitMillis * MICROS_PER_MILLI;
    while (!events.isEmpty() && events.peek().micros <= limitMicros) {
      Event next = events.poll();
      nowMicros = next.micros;
      steps++;
      next.action.run();
    }
    nowMicros = Math.max(nowMicros, limitMicros);
  }
}
