package org.baykeel.gateway.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.baykeel.gateway.testing.TestingEventLoop;
import org.junit.jupiter.api.Test;

/** Guards against callers that get the outcome of an operation that began before they came. */
class TestSharedRounds {
  private static final long OPERATION_MILLIS = 10;
  private static final long PAUSE_MILLIS = 20;

  private final TestingEventLoop eventLoop = new TestingEventLoop();
  private final List<Long> begins = new ArrayList<>();
  private final SharedRounds rounds =
      new SharedRounds(
          finished -> {
            begins.add(eventLoop.nanoTime());
            eventLoop.schedule(OPERATION_MILLIS, finished);
          },
          () -> PAUSE_MILLIS,
          eventLoop);

  @Test
  void callersWhileARoundRunsShareTheNextOne() {
    SharedRounds.Round first = rounds.join();
    SharedRounds.Round second = rounds.join();
    assertNotSame(first, second);
    eventLoop.advance(OPERATION_MILLIS - 1);
    assertSame(second, rounds.join());
    assertFalse(first.finished());
    eventLoop.advance(1);
    assertTrue(first.finished());
    assertSame(second, rounds.join());
    eventLoop.advance(PAUSE_MILLIS + OPERATION_MILLIS);
    assertTrue(second.finished());
    assertEquals(2, begins.size());
  }

  @Test
  void roundBeginsAtOnceIfNoneRan() {
    rounds.join();
    eventLoop.advance(OPERATION_MILLIS + PAUSE_MILLIS + 1);
    long nanos = eventLoop.nanoTime();
    List<String> finished = new ArrayList<>();
    rounds.join().onFinished(() -> finished.add("called"));
    assertEquals(nanos, begins.get(1));
    eventLoop.advance(OPERATION_MILLIS);
    assertEquals(List.of("called"), finished);
  }

  @Test
  void roundThatTakesLongIsDelayed() {
    rounds.join();
    eventLoop.advance(OPERATION_MILLIS - 1);
    assertTrue(rounds.isDelayed(5_000_000));
    assertFalse(rounds.isDelayed(50_000_000));
    eventLoop.advance(1);
    assertFalse(rounds.isDelayed(5_000_000));
  }
}
