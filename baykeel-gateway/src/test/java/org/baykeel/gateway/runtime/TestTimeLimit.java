package org.baykeel.gateway.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.baykeel.gateway.testing.TestingEventLoop;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class TestTimeLimit {
  private static final long LIMIT_MILLIS = 80;

  private final TestingEventLoop eventLoop = new TestingEventLoop();
  private final List<String> passed = new ArrayList<>();

  private EventLoop.Timer start() {
    return eventLoop.scheduleTimeLimit(LIMIT_MILLIS, () -> passed.add("passed"));
  }

  @Test
  void passesOnce() {
    start();
    eventLoop.advance(LIMIT_MILLIS - 1);
    assertEquals(List.of(), passed);
    eventLoop.advance(1);
    assertEquals(List.of("passed"), passed);
    eventLoop.advance(LIMIT_MILLIS);
    assertEquals(List.of("passed"), passed);
  }

  @ParameterizedTest(name = "cancelled after {0} ms")
  @ValueSource(longs = {0, 1, LIMIT_MILLIS - 1})
  void doesNotPassOnceCancelled(long millis) {
    EventLoop.Timer limit = start();
    eventLoop.advance(millis);
    limit.cancel();
    eventLoop.advance(2 * LIMIT_MILLIS);
    assertEquals(List.of(), passed);
  }

  /** Guards against timers that are due with the limit, and read what it waits for. */
  @Test
  void whatIsReadOnceTheLimitIsDueEndsIt() {
    EventLoop.Timer limit = start();
    eventLoop.schedule(LIMIT_MILLIS, limit::cancel);
    eventLoop.advance(2 * LIMIT_MILLIS);
    assertEquals(List.of(), passed);
  }
}
