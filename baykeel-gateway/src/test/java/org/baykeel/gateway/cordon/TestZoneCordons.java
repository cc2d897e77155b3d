package org.baykeel.gateway.cordon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.baykeel.gateway.telemetry.GatewayEvent;
import org.baykeel.gateway.testing.TestingEventLoop;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class TestZoneCordons {
  private static final long BOUND_MILLIS = 5_000;
  private static final long DRAIN_MILLIS = (long) (BOUND_MILLIS * ZoneCordons.PART_OF_BOUND);

  private final TestingEventLoop eventLoop = new TestingEventLoop();
  private final List<GatewayEvent> events = new ArrayList<>();
  private final ZoneCordons cordons =
      new ZoneCordons(BOUND_MILLIS, eventLoop, (event, fields) -> events.add(event));

  private void recordProofNow() {
    cordons.recordProof(eventLoop.nanoTime());
  }

  /**
   * Returns how many of 100 conversations with evenly spread hashes may still have a turn in zone
   * a.
   */
  private int remainingConversations() {
    int remaining = 0;
    for (long hash = 0; hash < 100; hash++) {
      int spread = (int) (hash * 0x1_0000_0000L / 100);
      remaining += cordons.openToConversation("a", spread, eventLoop.nanoTime()) ? 1 : 0;
    }
    return remaining;
  }

  @Test
  void newWorkAvoidsACordonedZoneAtOnceAndOtherZonesAreOpen() {
    recordProofNow();
    cordons.cordon("a", 7);
    assertFalse(cordons.open("a"));
    assertTrue(cordons.open("b"));
    assertEquals(1, cordons.count());
    assertEquals(List.of(GatewayEvent.ZONE_CORDONED), events);
  }

  @Test
  void conversationsLeaveOneAfterTheOtherAndAllInTime() {
    recordProofNow();
    cordons.cordon("a", 7);
    int before = remainingConversations();
    assertTrue(before >= 99, before + " conversations");
    for (int step = 0; step < 4; step++) {
      eventLoop.advance(DRAIN_MILLIS / 4);
      int remaining = remainingConversations();
      assertTrue(Math.abs(before - remaining - 25) <= 2, before + " then " + remaining);
      before = remaining;
    }
    assertEquals(0, remainingConversations());
  }

  @ParameterizedTest(name = "rows known {0} ms before the cordon is learnt: {1} ms left")
  @CsvSource({"0, 2500", "1000, 1500", "2500, 0", "60000, 0"})
  void theTimeToLeaveCountsFromTheLastProof(long ageMillis, long leftMillis) {
    recordProofNow();
    eventLoop.advance(ageMillis);
    cordons.cordon("a", 7);
    eventLoop.advance(Math.max(0, leftMillis - 1));
    assertEquals(leftMillis > 0, cordons.openToConversation("a", -1, eventLoop.nanoTime()));
    eventLoop.advance(1);
    assertFalse(cordons.openToConversation("a", -1, eventLoop.nanoTime()));
  }

  @Test
  void withoutAProofAllConversationsLeaveAtOnce() {
    cordons.cordon("a", 7);
    assertEquals(0, remainingConversations());
  }

  @Test
  void aRowThatIsWrittenAgainDoesNotExtendTheTimeToLeave() {
    recordProofNow();
    cordons.cordon("a", 7);
    eventLoop.advance(DRAIN_MILLIS);
    recordProofNow();
    cordons.cordon("a", 8);
    assertEquals(0, remainingConversations());
  }

  @Test
  void aListWithoutAZoneEndsItsCordon() {
    recordProofNow();
    cordons.cordon("a", 7);
    cordons.replaceAll(Map.of("b", 9L));
    assertTrue(cordons.open("a"));
    assertFalse(cordons.open("b"));
    assertEquals(eventLoop.nanoTime(), cordons.liftedNanos("a"));
    assertEquals(
        List.of(
            GatewayEvent.ZONE_CORDONED, GatewayEvent.ZONE_UNCORDONED, GatewayEvent.ZONE_CORDONED),
        events);
  }

  @Test
  void aZoneThatIsCordonedAgainIsClosedAgain() {
    recordProofNow();
    cordons.cordon("a", 7);
    cordons.lift("a");
    assertTrue(cordons.open("a"));
    cordons.cordon("a", 11);
    assertFalse(cordons.open("a"));
  }

  @Test
  void endingACordonThatDoesNotExistLogsNothing() {
    cordons.lift("a");
    assertEquals(List.of(), events);
    assertEquals(null, cordons.liftedNanos("a"));
  }
}
