package org.baykeel.gateway.call;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.ArrayList;
import java.util.List;
import org.baykeel.gateway.residency.Residency;
import org.baykeel.gateway.testing.TestingEventLoop;
import org.junit.jupiter.api.Test;

class TestWaitQueue {
  private static final WaitQueue.Requirement REQUIREMENT =
      new WaitQueue.Requirement("s", Residency.ANY, false);
  private static final long NO_TARGET = 0;

  private final TestingEventLoop eventLoop = new TestingEventLoop();
  private final WaitQueue queue = new WaitQueue(eventLoop);
  private final List<String> notified = new ArrayList<>();
  private long nextCapacityNanos = after(100);
  private boolean stopping;

  private long after(long millis) {
    return eventLoop.nanoTime() + millis * 1_000_000;
  }

  private WaitQueue.Ticket add(String name, long finishTargetNanos, long deadlineMillis) {
    WaitQueue.Waiter waiter =
        new WaitQueue.Waiter() {
          @Override
          public long nextCapacityNanos() {
            return nextCapacityNanos;
          }

          @Override
          public void onCapacityExpected() {
            notified.add(name);
            nextCapacityNanos =
                nextCapacityNanos == Long.MAX_VALUE ? nextCapacityNanos : after(100);
          }

          @Override
          public boolean endsBeforeResponse() {
            return stopping;
          }

          @Override
          public void onWaitTooLong() {
            notified.add(name + " gave up");
          }

          @Override
          public void onQuarantineChanged() {}
        };
    long deadlineNanos = after(deadlineMillis);
    boolean canMeetTarget = finishTargetNanos > eventLoop.nanoTime();
    long dueNanos = canMeetTarget ? Math.min(finishTargetNanos, deadlineNanos) : deadlineNanos;
    return queue.add(REQUIREMENT, canMeetTarget, dueNanos, deadlineNanos, waiter);
  }

  @Test
  void eachSlotGoesToTheProgramWithTheLeastRemainingTime() {
    add("no aim, late deadline", NO_TARGET, 3_000);
    add("no aim, early deadline", NO_TARGET, 2_000);
    add("late aim", after(1_500), 3_000);
    add("aim passed", after(-1), 1_000);
    add("early aim", after(500), 3_000);
    List<String> order =
        List.of(
            "early aim",
            "late aim",
            "aim passed",
            "no aim, early deadline",
            "no aim, late deadline");
    for (int slots = 1; slots <= order.size(); slots++) {
      eventLoop.advance(100);
      assertEquals(order.subList(0, slots), notified);
    }
    assertFalse(queue.hasWaiting(REQUIREMENT));
  }

  @Test
  void aWaitEndsAtItsTimeLimitWithoutASlot() {
    nextCapacityNanos = after(5_000);
    add("short", NO_TARGET, 300);
    add("long", after(100), 2_000);
    eventLoop.advance(300);
    assertEquals(List.of("short gave up"), notified);
  }

  @Test
  void allWaitsEndAtOnceWhenNoEngineTakesWork() {
    nextCapacityNanos = Long.MAX_VALUE;
    add("first", NO_TARGET, 1_000);
    add("second", NO_TARGET, 2_000);
    eventLoop.advance(0);
    assertEquals(List.of("first", "second"), notified);
  }

  @Test
  void aRemovedWaiterIsNotNotified() {
    WaitQueue.Ticket ticket = add("left", NO_TARGET, 1_000);
    ticket.leave();
    ticket.leave();
    eventLoop.advance(2_000);
    assertEquals(List.of(), notified);
  }

  /** Guards against requests that wait for a slot which a stopping node cannot use any more. */
  @Test
  void requestsThatCannotBeAnsweredBeforeTheProcessEndsStopWaiting() {
    nextCapacityNanos = after(10_000);
    add("a", NO_TARGET, 20_000);
    add("b", NO_TARGET, 20_000);
    eventLoop.advance(500);
    assertEquals(List.of(), notified);
    stopping = true;
    eventLoop.advance(100);
    assertEquals(List.of("a gave up", "b gave up"), notified);
    assertFalse(queue.hasWaiting(REQUIREMENT));
  }
}
