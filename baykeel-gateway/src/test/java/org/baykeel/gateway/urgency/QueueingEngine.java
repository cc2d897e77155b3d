package org.baykeel.gateway.urgency;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * An engine that works on one request at a time and takes the next one by rank, then by arrival. A
 * request that waits past its deadline is dropped.
 */
final class QueueingEngine {
  private final PriorityQueue<Waiting> queue =
      new PriorityQueue<>(
          Comparator.comparingInt(Waiting::rank).thenComparingLong(Waiting::arrival));
  private long arrivals;
  private Waiting running;
  private long busyUntilMillis;

  /** A request at the engine. */
  record Waiting(int rank, long arrival, long deadlineMillis, long workMillis, Runnable served) {}

  void accept(int rank, long deadlineMillis, long workMillis, Runnable served) {
    queue.add(new Waiting(rank, arrivals++, deadlineMillis, workMillis, served));
  }

  /** Advances the virtual time, which must be done in steps of one millisecond. */
  void advanceTo(long nowMillis) {
    if (running != null && nowMillis >= busyUntilMillis) {
      Waiting ended = running;
      running = null;
      ended.served().run();
    }
    while (running == null && !queue.isEmpty()) {
      Waiting next = queue.poll();
      if (next.deadlineMillis() > nowMillis) {
        running = next;
        busyUntilMillis = nowMillis + next.workMillis();
      }
    }
  }

  /**
   * Removes all waiting requests from the queue and returns their callbacks, in the order in which
   * the requests would be served.
   */
  List<Runnable> drain() {
    List<Runnable> order = new ArrayList<>();
    while (!queue.isEmpty()) {
      order.add(queue.poll().served());
    }
    return order;
  }
}
