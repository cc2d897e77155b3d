package org.baykeel.gateway.directory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class TestLoadEstimate {
  private static final int SLOTS = 4;
  private static final EngineLoad THREE = new EngineLoad(0, 3, 75, 100);

  private final LoadEstimate load = new LoadEstimate();

  private static long millis(long millis) {
    return millis * 1_000_000;
  }

  @Test
  void nothingIsKnownBeforeAReport() {
    load.sent(millis(1));
    assertFalse(load.known(millis(2)));
    assertEquals(0, load.requests(millis(2)));
    assertEquals(0, load.waiting(SLOTS, millis(2)));
    assertEquals(Long.MAX_VALUE, load.ageNanos(millis(2)));
  }

  @Test
  void requestsSentAfterTheMomentOfTheReportAreAdded() {
    load.sent(millis(90));
    load.sent(millis(110));
    load.reported(THREE, millis(100));
    assertEquals(4, load.requests(millis(130)));
    load.sent(millis(140));
    assertEquals(5, load.requests(millis(150)));
    assertEquals(1, load.waiting(SLOTS, millis(150)));
    load.reported(THREE, millis(120));
    assertEquals(4, load.requests(millis(150)));
  }

  @Test
  void endedRequestsDoNotCount() {
    load.reported(THREE, millis(100));
    for (int i = 0; i < 20; i++) {
      load.sent(millis(110 + i));
    }
    assertEquals(23, load.requests(millis(150)));
    for (int i = 0; i < 19; i++) {
      load.ended(millis(110 + i));
    }
    load.ended(millis(90));
    assertEquals(4, load.requests(millis(150)));
  }

  @Test
  void anOlderReportIsNotAdopted() {
    assertTrue(load.reported(THREE, millis(100)));
    assertFalse(load.reported(new EngineLoad(9, 4, 0, 100), millis(99)));
    assertEquals(3, load.requests(millis(100)));
  }

  @Test
  void aStaleReportIsIgnored() {
    load.reported(new EngineLoad(2, 4, 75, 100), 0);
    load.sent(millis(10));
    long last = LoadEstimate.STALE_NANOS - 1;
    assertEquals(7, load.requests(last));
    assertEquals(3, load.waiting(SLOTS, last));
    assertEquals(0.75, load.memoryShare(last));
    assertEquals(0, load.requests(LoadEstimate.STALE_NANOS));
    assertEquals(0, load.waiting(SLOTS, LoadEstimate.STALE_NANOS));
    assertEquals(0, load.memoryShare(LoadEstimate.STALE_NANOS));
  }

  @Test
  void aDroppedReportIsIgnored() {
    load.reported(THREE, millis(100));
    load.forget();
    assertFalse(load.known(millis(100)));
    assertTrue(load.reported(THREE, millis(90)));
  }
}
