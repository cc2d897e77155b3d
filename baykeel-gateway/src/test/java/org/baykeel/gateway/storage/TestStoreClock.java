package org.baykeel.gateway.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;

class TestStoreClock {
  private static final long MILLI = 1_000_000;

  private final StoreClock clock = new StoreClock();

  @Test
  void oneResponseBoundsStoreTimeByItsRoundTrip() {
    assertFalse(clock.known());
    clock.observe(100 * MILLI, 110 * MILLI, 5_000);
    assertTrue(clock.known());
    assertEquals(5_000, clock.earliestStoreMillis(110 * MILLI));
    assertEquals(5_012, clock.latestStoreMillis(110 * MILLI));
    assertEquals(99 * MILLI, clock.earliestNanos(5_000));
  }

  /** The bounds enclose the store's time for any delays of requests and responses. */
  @Test
  void boundsHoldForAnyDelays() {
    Random random = new Random(7);
    long offset = 123_456_789L * MILLI + 333;
    long now = 50 * MILLI;
    for (int i = 0; i < 1_000; i++) {
      long sent = now;
      long answered = sent + random.nextInt(300) * MILLI / (1 + random.nextInt(50));
      long received = answered + random.nextInt(300) * MILLI / (1 + random.nextInt(50));
      clock.observe(sent, received, (answered + offset) / MILLI);
      now = received + random.nextInt(100) * MILLI;
      long actual = (now + offset) / MILLI;
      assertTrue(clock.earliestStoreMillis(now) <= actual);
      assertTrue(clock.latestStoreMillis(now) >= actual);
      assertTrue(clock.earliestNanos(actual) <= now);
    }
  }
}
