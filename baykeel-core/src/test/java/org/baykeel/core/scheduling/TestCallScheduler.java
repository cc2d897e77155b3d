package org.baykeel.core.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.baykeel.core.configuration.ConfigurationImage;
import org.baykeel.core.configuration.Declarations;
import org.baykeel.core.message.EngineReport;
import org.junit.jupiter.api.Test;

class TestCallScheduler {
  private static final long NOW = 100_000;

  private final List<String> dispatched = new ArrayList<>();
  private final List<String> displaced = new ArrayList<>();
  private final EngineDirectory directory = new EngineDirectory();

  private record Call(
      TestCallScheduler test, String name, int classPriority, long attainedService, long since)
      implements WaitingCall {
    @Override
    public CallDemand demand() {
      return new CallDemand(name, "model", 100);
    }

    @Override
    public long waitingSinceMillis() {
      return since;
    }

    @Override
    public String cachedOn() {
      return "";
    }

    @Override
    public int cachedTokens() {
      return 0;
    }

    @Override
    public void dispatchTo(String engine, long nowMillis) {
      test.directory.attemptStarted(engine);
      test.dispatched.add(name);
    }

    @Override
    public void displaced(int retryAfterMillis, long nowMillis) {
      assertTrue(retryAfterMillis > 0);
      test.displaced.add(name);
    }
  }

  private Call call(String name, int priority, long attained, long since) {
    return new Call(this, name, priority, attained, since);
  }

  private void declare(int engines, int concurrency) {
    List<Declarations.Engine> declared = new ArrayList<>();
    for (int i = 0; i < engines; i++) {
      declared.add(
          new Declarations.Engine(
              "e" + i,
              "127.0.0.1:1",
              "z",
              List.of("model"),
              concurrency,
              1,
              Declarations.BackendState.SERVING));
    }
    directory.configure(
        new ConfigurationImage(
            1, new Declarations(List.of(), List.of(), declared, List.of(), List.of())));
  }

  private CallScheduler scheduler(int maximumWaiting) {
    CostModel costs = new CostModel(8_000, 3, 1);
    EngineSelector selector = SelectionPolicy.CACHE_AWARE.create(costs, new SplittableRandom(1));
    return new CallScheduler(directory, selector, maximumWaiting, true);
  }

  @Test
  void operatorsClassGoesFirstThenTheProgramWithLeastService() {
    declare(1, 10);
    CallScheduler scheduler = scheduler(10);
    scheduler.submit(call("low", 50, 0, NOW), NOW);
    scheduler.submit(call("long", 10, 1_000_000, NOW), NOW);
    scheduler.submit(call("short", 10, 10, NOW), NOW);
    scheduler.dispatchWaiting(NOW);
    assertEquals(List.of("short", "long", "low"), dispatched);
  }

  @Test
  void waitingRaisesALongProgram() {
    declare(1, 10);
    CallScheduler scheduler = scheduler(10);
    scheduler.submit(call("long", 10, 1_000_000, NOW - 60_000), NOW);
    scheduler.submit(call("short", 10, 10, NOW), NOW);
    scheduler.dispatchWaiting(NOW);
    assertEquals(List.of("long", "short"), dispatched);
  }

  @Test
  void fullEnginesLeaveCallsWaiting() {
    declare(1, 2);
    CallScheduler scheduler = scheduler(10);
    for (int i = 0; i < 5; i++) {
      scheduler.submit(call("c" + i, 10, 0, NOW + i), NOW);
    }
    scheduler.dispatchWaiting(NOW);
    assertEquals(2, dispatched.size());
    assertEquals(3, scheduler.waitingCalls());
  }

  @Test
  void fullQueueRefusesTheLowestAtOnce() {
    declare(0, 1);
    CallScheduler scheduler = scheduler(2);
    scheduler.submit(call("draft", 50, 0, NOW), NOW);
    scheduler.submit(call("review", 20, 0, NOW), NOW);
    scheduler.submit(call("consent", 10, 0, NOW), NOW);
    assertEquals(List.of("draft"), displaced);
    assertEquals(2, scheduler.waitingCalls());
  }

  @Test
  void leavingAndUnreachableEnginesGetNothing() {
    declare(2, 4);
    directory.onReport(new EngineReport("e0", NOW, 0, 0, 0, EngineReport.Status.LEAVING));
    directory.onReport(new EngineReport("e1", NOW, 0, 0, 0, EngineReport.Status.UNREACHABLE));
    CallScheduler scheduler = scheduler(10);
    scheduler.submit(call("c", 10, 0, NOW), NOW);
    scheduler.dispatchWaiting(NOW);
    assertEquals(List.of(), dispatched);
  }

  @Test
  void cachedPrefixIsWorthAShortQueueButNotALongOne() {
    declare(2, 4);
    CacheAwareSelector selector =
        new CacheAwareSelector(CostModel.DEFAULT, new SplittableRandom(1));
    CallDemand demand = new CallDemand("p", "model", 40_000);
    Declarations.Engine engine = directory.candidates("model", "", 0, NOW).get(0).engine();
    EngineView warm = new EngineView(engine, 2, 40_000);
    EngineView cold = new EngineView(engine, 0, 0);
    assertEquals(warm, selector.select(demand, List.of(cold, warm)));
    EngineView full = new EngineView(engine, 5, 40_000);
    assertEquals(cold, selector.select(demand, List.of(cold, full)));
  }
}
