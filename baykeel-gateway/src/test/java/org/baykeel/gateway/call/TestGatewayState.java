package org.baykeel.gateway.call;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.baykeel.gateway.directory.Engine;
import org.baykeel.gateway.directory.EngineDirectory;
import org.baykeel.gateway.directory.EngineEntryFault;
import org.baykeel.gateway.directory.EngineId;
import org.baykeel.gateway.directory.EngineRecord;
import org.baykeel.gateway.storage.StoreHealth;
import org.baykeel.gateway.telemetry.GatewayEvent;
import org.baykeel.gateway.testing.TestingEventLoop;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class TestGatewayState {
  private static final long MAX_LAPSE_NANOS = 1_900_000_000L;
  private static final EngineRecord ENGINE =
      new EngineRecord("a", "s", "10.0.0.1", 80, "z", 4, false);

  private final List<GatewayEvent> events = new ArrayList<>();
  private final TestingEventLoop eventLoop = new TestingEventLoop();
  private final StoreHealth storeHealth = new StoreHealth();
  private final EngineDirectory engines = new EngineDirectory(MAX_LAPSE_NANOS);
  private final GatewayState state =
      new GatewayState(eventLoop, storeHealth, engines, (event, fields) -> events.add(event));

  private int usableEngines() {
    engines.expireLapsed(eventLoop.nanoTime());
    return engines.ofService("s").size();
  }

  /** The store returns, and the entry of a running engine is missing at first. */
  private void endOutageWithoutEntry() {
    state.putEngine(ENGINE);
    storeHealth.failed(eventLoop.nanoTime());
    storeHealth.failed(eventLoop.nanoTime());
    eventLoop.advance(50);
    storeHealth.answered(eventLoop.nanoTime());
    state.replaceEngines(List.of());
  }

  @ParameterizedTest
  @ValueSource(longs = {100, 1_000, 1_500, 1_850})
  void anEngineWhoseEntryReturnsWithinTwoSecondsOfTheStoreStaysUsable(long backAfterMillis) {
    endOutageWithoutEntry();
    eventLoop.advance(backAfterMillis);
    assertEquals(1, usableEngines());
    state.putEngine(ENGINE);
    eventLoop.advance(5_000);
    assertEquals(1, usableEngines());
  }

  @Test
  void anEngineWhoseEntryIsStillMissingAfterThatIsRemoved() {
    endOutageWithoutEntry();
    eventLoop.advance(2_200);
    assertEquals(0, usableEngines());
  }

  @Test
  void anEngineIsRemovedAtOnceIfItsEntryGoesWithoutAnOutage() {
    state.putEngine(ENGINE);
    storeHealth.answered(eventLoop.nanoTime());
    state.removeEngine("a");
    assertEquals(0, usableEngines());
  }

  @ParameterizedTest(name = "{0} ms after the store became unreachable")
  @ValueSource(longs = {0, 500, 2_000, 60_000})
  void anEngineStaysUsableIfItsEntryGoesDuringAnOutage(long afterMillis) {
    state.putEngine(ENGINE);
    storeHealth.failed(eventLoop.nanoTime());
    eventLoop.advance(afterMillis);
    storeHealth.failed(eventLoop.nanoTime());
    state.removeEngine("a");
    eventLoop.advance(1_500);
    assertEquals(1, usableEngines());
    state.putEngine(ENGINE);
    eventLoop.advance(10_000);
    assertEquals(1, usableEngines());
  }

  private static EngineEntryFault fault(String field) {
    return new EngineEntryFault(new EngineId("a"), field, EngineEntryFault.Reason.MISSING);
  }

  private boolean anyTakesWork() {
    return engines.ofService("s").stream().anyMatch(engine -> !engine.record().draining());
  }

  @ParameterizedTest(name = "the whole table is read again: {0}")
  @ValueSource(booleans = {true, false})
  void anEngineWithAnUnusableEntryGetsNoNewWorkUntilItIsUsable(boolean wholeTable) {
    state.putEngine(ENGINE);
    Engine engine = engines.find(new EngineId("a"));
    engine.requestStarted(eventLoop.nanoTime());
    if (wholeTable) {
      state.replaceEngines(List.of(), List.of(fault("zone")));
    } else {
      state.withdrawEngine(fault("zone"));
    }
    assertFalse(anyTakesWork());
    assertFalse(engine.removed());
    if (wholeTable) {
      state.replaceEngines(List.of(ENGINE), List.of());
    } else {
      state.putEngine(ENGINE);
    }
    assertTrue(anyTakesWork());
    assertSame(engine, engines.find(new EngineId("a")));
    assertEquals(1, engine.inFlight());
  }

  @Test
  void anEngineIsRemovedAtOnceIfItsUnusableEntryGoes() {
    state.putEngine(ENGINE);
    state.withdrawEngine(fault("zone"));
    storeHealth.failed(eventLoop.nanoTime());
    state.removeEngine("a");
    assertEquals(0, usableEngines());
  }

  @Test
  void anUnusableEntryIsLoggedOncePerFault() {
    state.withdrawEngine(fault("zone"));
    state.withdrawEngine(fault("zone"));
    state.replaceEngines(List.of(), List.of(fault("zone")));
    state.withdrawEngine(fault("slots"));
    state.putEngine(ENGINE);
    state.withdrawEngine(fault("slots"));
    assertEquals(3, events.stream().filter(GatewayEvent.ENGINE_ENTRY_UNUSABLE::equals).count());
  }

  @Test
  void aRestartIsLogged() {
    state.putEngine(startedAt(1_000));
    state.putEngine(startedAt(1_000));
    state.putEngine(startedAt(2_000));
    engines.adoptStartTime(new EngineId("a"), 3_000, eventLoop.nanoTime());
    assertEquals(2, events.stream().filter(GatewayEvent.ENGINE_RESTARTED::equals).count());
  }

  private static EngineRecord startedAt(long millis) {
    return new EngineRecord("a", "s", "10.0.0.1", 80, "z", 4, false, 0, millis);
  }
}
