package org.baykeel.gateway.call;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.baykeel.gateway.directory.EngineDirectory;
import org.baykeel.gateway.storage.StoreHealth;
import org.baykeel.gateway.testing.TestingEventLoop;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class TestGracefulStop {
  private final TestingEventLoop eventLoop = new TestingEventLoop();
  private final GatewayState state =
      new GatewayState(eventLoop, new StoreHealth(), new EngineDirectory(1), (event, fields) -> {});
  private final TestingConnections callers = new TestingConnections();
  private int ends;

  /** Connections whose number of active calls the test sets. */
  private static final class TestingConnections implements GracefulStop.CallerConnections {
    private int active;
    private boolean accepting = true;
    private int ended;

    @Override
    public int activeCalls() {
      return active;
    }

    @Override
    public void closeIdle() {
      accepting = false;
    }

    @Override
    public void endCalls(long stopNanos) {
      ended = active;
    }
  }

  private void begin(long graceMillis) {
    new GracefulStop(eventLoop, state, callers, (event, fields) -> {}, graceMillis, () -> ends++)
        .begin();
  }

  @ParameterizedTest(name = "grace {0} ms, calls end after {1} ms: ends between {2} and {3} ms")
  @CsvSource({
    "8000, 0, 2600, 2650",
    "8000, 1000, 2600, 2650",
    "8000, 5000, 5000, 5050",
    "8000, 100000, 7500, 7600",
    "2000, 0, 1000, 1050",
    "2000, 100000, 1500, 1600",
  })
  void endsWhenNoCallIsActiveOrTheGracePeriodIsNearlyOver(
      long graceMillis, long callsEndMillis, long earliestMillis, long latestMillis) {
    callers.active = 3;
    eventLoop.schedule(callsEndMillis, () -> callers.active = 0);
    begin(graceMillis);
    eventLoop.advance(earliestMillis - 1);
    assertEquals(0, ends);
    eventLoop.advance(latestMillis - earliestMillis + 1);
    assertEquals(1, ends);
    eventLoop.advance(graceMillis);
    assertEquals(1, ends);
  }

  /** Guards against requests that the end of the process cuts off without a response. */
  @Test
  void endsTheCallsInProgressBeforeTheProcess() {
    callers.active = 3;
    begin(8_000);
    eventLoop.advance(7_560);
    assertEquals(3, callers.ended);
    assertEquals(0, ends);
    eventLoop.advance(40);
    assertEquals(1, ends);
  }

  @Test
  void isNotReadyAtOnceAndServesOnUntilTheLoadBalancerHasNoticed() {
    begin(8_000);
    assertTrue(state.stopping());
    eventLoop.advance(2_500);
    assertTrue(callers.accepting);
    eventLoop.advance(200);
    assertFalse(callers.accepting);
  }

  @Test
  void aSecondSignalHasNoEffect() {
    begin(8_000);
    eventLoop.advance(1_000);
    begin(8_000);
    eventLoop.advance(20_000);
    assertEquals(1, ends);
  }
}
