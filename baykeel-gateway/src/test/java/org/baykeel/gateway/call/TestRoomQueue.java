package org.baykeel.gateway.call;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.ArrayList;
import java.util.List;
import org.baykeel.gateway.residency.Residency;
import org.baykeel.gateway.testing.TestingEventLoop;
import org.junit.jupiter.api.Test;

class TestRoomQueue {
  private static final WaitQueue.Need NEED = new WaitQueue.Need("s", Residency.ANY, false);
  private static final long NO_AIM = 0;

  private final TestingEventLoop eventLoop = new TestingEventLoop();
  private final WaitQueue queue = new WaitQueue(eventLoop);
  private final List<String> heard = new ArrayList<>();
  private long nextPlaceNanos = after(100);

  private long after(long millis) {
    return eventLoop.nanoTime() + millis * 1_000_000;
  }

  private WaitQueue.Ticket join(String name, long aimNanos, long deadlineMillis) {
    WaitQueue.Waiter waiter =
        new WaitQueue.Waiter() {
          @Override
          public long nextPlaceNanos() {
            return nextPlaceNanos;
          }

          @Override
          public void onPlaceExpected() {
            heard.add(name);
            nextPlaceNanos = nextPlaceNanos == Long.MAX_VALUE ? nextPlaceNanos : after(100);
          }

          @Override
          public void onWaitTooLong() {
            heard.add(name + " gave up");
          }
        };
    long deadlineNanos = after(deadlineMillis);
    boolean hasAim = aimNanos > eventLoop.nanoTime();
    long dueNanos = hasAim ? Math.min(aimNanos, deadlineNanos) : deadlineNanos;
    return queue.join(NEED, hasAim, dueNanos, deadlineNanos, waiter);
  }

  @Test
  void eachPlaceIsOfferedToTheProgramWithLeastTimeLeft() {
    join("no aim, late deadline", NO_AIM, 3_000);
    join("no aim, early deadline", NO_AIM, 2_000);
    join("late aim", after(1_500), 3_000);
    join("aim passed", after(-1), 1_000);
    join("early aim", after(500), 3_000);
    List<String> order =
        List.of(
            "early aim",
            "late aim",
            "aim passed",
            "no aim, early deadline",
            "no aim, late deadline");
    for (int places = 1; places <= order.size(); places++) {
      eventLoop.advance(100);
      assertEquals(order.subList(0, places), heard);
    }
    assertFalse(queue.anyWaits(NEED));
  }

  @Test
  void aWaitEndsWithItsTimeAlsoWithoutAPlace() {
    nextPlaceNanos = after(5_000);
    join("short", NO_AIM, 300);
    join("long", after(100), 2_000);
    eventLoop.advance(300);
    assertEquals(List.of("short gave up"), heard);
  }

  @Test
  void allAreToldAtOnceWhenNoEngineTakesWork() {
    nextPlaceNanos = Long.MAX_VALUE;
    join("first", NO_AIM, 1_000);
    join("second", NO_AIM, 2_000);
    eventLoop.advance(0);
    assertEquals(List.of("first", "second"), heard);
  }

  @Test
  void whoHasLeftHearsNothing() {
    WaitQueue.Ticket ticket = join("left", NO_AIM, 1_000);
    ticket.leave();
    ticket.leave();
    eventLoop.advance(2_000);
    assertEquals(List.of(), heard);
  }
}
