package org.baykeel.gateway.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.baykeel.gateway.directory.Engine;
import org.baykeel.gateway.directory.EngineDirectory;
import org.baykeel.gateway.directory.EngineLoad;
import org.baykeel.gateway.directory.EngineRecord;
import org.baykeel.gateway.directory.PromptPart;
import org.baykeel.gateway.scheduling.EngineSelector.Criteria;
import org.baykeel.gateway.telemetry.GatewayEvent;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class TestSlowHomePolicy {
  private static final double USUAL_INTER_EVENT_MILLIS = 30;
  private static final int AGE_MILLIS = 200;

  private final EngineDirectory directory = new EngineDirectory(1);
  private final List<GatewayEvent> logged = new ArrayList<>();
  private final SlowHomePolicy policy = new SlowHomePolicy((event, fields) -> logged.add(event));
  private Engine engine;

  @BeforeEach
  void startEngine() {
    directory.put(new EngineRecord("e", "s", "10.0.0.1", 80, "z", 8, false));
    engine = directory.ofService("s").get(0);
  }

  private void observeSlowdown(double factor, long millis) {
    engine.observeWait(0, millis * 1_000_000);
    for (int i = 0; i < 200; i++) {
      engine.observeInterEventTime(USUAL_INTER_EVENT_MILLIS * factor);
    }
    for (int i = 0; i < 1_000; i++) {
      engine.performance().observeInterEventTime(USUAL_INTER_EVENT_MILLIS);
    }
  }

  private boolean allowsHome(int promptTokens, long millis) {
    engine.load().reported(new EngineLoad(0, 4, 0, 0), (millis - AGE_MILLIS) * 1_000_000);
    List<PromptPart> prompt = List.of(new PromptPart("own", promptTokens));
    return policy.allowsHome(engine, new Criteria("s", prompt, "p", true), millis * 1_000_000);
  }

  @ParameterizedTest(name = "slowdown {0}, {1} tokens: {2}")
  @CsvSource({
    "1.0, 500, true",
    "1.5, 500, true",
    "1.7, 500, false",
    "4.0, 500, false",
    "1.7, 400000, true",
    "4.0, 400000, true"
  })
  void programsLeaveASlowHomeIfTheRemainingTurnsSaveMoreThanThePrefill(
      double factor, int promptTokens, boolean stays) {
    observeSlowdown(factor, 1_000);
    assertEquals(stays, allowsHome(promptTokens, 1_200));
    assertEquals(stays ? List.of() : List.of(GatewayEvent.ENGINE_LEFT), logged);
  }

  @Test
  void programsReturnAfterTheMinimumTimeAndAtAUsualInterEventTime() {
    observeSlowdown(4, 1_000);
    assertFalse(allowsHome(500, 1_200));
    observeSlowdown(1, 2_000);
    assertFalse(allowsHome(500, 5_100));
    observeSlowdown(1.5, 5_150);
    assertFalse(allowsHome(500, 5_400));
    observeSlowdown(1.1, 5_450);
    assertTrue(allowsHome(500, 5_600));
    assertTrue(allowsHome(500, 5_700));
    assertEquals(List.of(GatewayEvent.ENGINE_LEFT, GatewayEvent.ENGINE_RETURNED), logged);
  }

  @Test
  void anOutdatedInterEventTimeIsTestedByOneStream() {
    observeSlowdown(4, 1_000);
    assertFalse(allowsHome(500, 1_200));
    assertTrue(allowsHome(500, 5_300));
    engine.requestStarted(5_400_000_000L);
    assertFalse(allowsHome(500, 5_400));
    observeSlowdown(1, 5_500);
    engine.requestEnded(5_400_000_000L);
    assertTrue(allowsHome(500, 9_500));
  }

  @Test
  void oneStreamReplacesAnOutdatedInterEventTime() {
    observeSlowdown(4, 1_000);
    engine.observeWait(0, 5_100_000_000L);
    for (int i = 0; i < 10; i++) {
      engine.observeInterEventTime(USUAL_INTER_EVENT_MILLIS);
    }
    assertEquals(
        USUAL_INTER_EVENT_MILLIS, engine.interEventMillis(), USUAL_INTER_EVENT_MILLIS * 0.1);
  }

  @Test
  void programsDoNotLeaveAHomeOfUnknownLoad() {
    observeSlowdown(4, 1_000);
    Criteria criteria = new Criteria("s", List.of(new PromptPart("own", 500)), "p", true);
    assertTrue(policy.allowsHome(engine, criteria, 1_200_000_000L));
  }

  @Test
  void eventsAreLoggedOncePerSecondForEachEngine() {
    observeSlowdown(4, 1_000);
    allowsHome(500, 1_200);
    assertTrue(allowsHome(500, 5_300));
    engine.requestStarted(5_400_000_000L);
    assertFalse(allowsHome(500, 5_400));
    engine.requestEnded(5_400_000_000L);
    assertEquals(List.of(GatewayEvent.ENGINE_LEFT, GatewayEvent.ENGINE_RETURNED), logged);
  }
}
