package org.baykeel.gateway.call;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.SplittableRandom;
import org.baykeel.gateway.admission.ProgramAdmission;
import org.baykeel.gateway.budget.GrantIds;
import org.baykeel.gateway.budget.GrantSource;
import org.baykeel.gateway.budget.ProgramBudgets;
import org.baykeel.gateway.configuration.Backend;
import org.baykeel.gateway.configuration.GatewayConfiguration;
import org.baykeel.gateway.configuration.RequestLimits;
import org.baykeel.gateway.configuration.Route;
import org.baykeel.gateway.configuration.RouteKind;
import org.baykeel.gateway.configuration.ServiceProfile;
import org.baykeel.gateway.directory.Engine;
import org.baykeel.gateway.directory.EngineDirectory;
import org.baykeel.gateway.directory.EngineRecord;
import org.baykeel.gateway.fairness.AdmissionShares;
import org.baykeel.gateway.residency.Residency;
import org.baykeel.gateway.storage.StoreHealth;
import org.baykeel.gateway.testing.TestingContext;
import org.baykeel.gateway.testing.TestingEventLoop;
import org.baykeel.gateway.testing.TestingResponder;
import org.baykeel.gateway.testing.TestingStore;
import org.junit.jupiter.api.Test;

/**
 * Tool calls that may run only once, from twenty nodes, at engines with few slots. Ordinary demand
 * is 35 % of the capacity; it rises to three times that for eight seconds, and in the middle of
 * these a third of the engines drain for two seconds. Such a call is lost if a node refuses it
 * although a slot becomes free in time, or sends it to full engines again and again until its
 * deadline.
 */
class TestToolCallsUnderLoad {
  private static final int NODES = 20;
  private static final int ENGINES = 12;
  private static final int SLOTS = 6;
  private static final int QUEUE = 2;

  /** Engines that a call is sent to one after the other. */
  private static final int MAX_SENDS_PER_ROUND = 6;

  private static final long WORK_MILLIS = 50;
  private static final long TIMEOUT_MILLIS = 2_000;
  private static final double CAPACITY_PER_MILLI = (double) ENGINES * SLOTS / WORK_MILLIS;

  private final TestingEventLoop eventLoop = new TestingEventLoop();
  private final TestingStore store = new TestingStore(eventLoop);
  private final ToolEngines engines = new ToolEngines();
  private final List<EngineDirectory> directories = new ArrayList<>();
  private final List<CallCoordinator> nodes = new ArrayList<>();
  private final Random random = new Random(5);

  /** Engines that refuse requests for which they have no slot, and count these refusals. */
  private final class ToolEngines implements EngineTransport {
    private final Map<String, Integer> requests = new HashMap<>();
    private final Map<String, Long> freeAtMillis = new HashMap<>();
    private int refused;

    @Override
    public Exchange send(Engine engine, EngineRequest request, Listener listener) {
      eventLoop.schedule(1, () -> arrive(engine.record().id(), listener));
      return new Exchange() {
        @Override
        public boolean isRequestWritten() {
          return true;
        }

        @Override
        public void cancel() {}

        @Override
        public void pauseReading() {}

        @Override
        public void resumeReading() {}
      };
    }

    private void arrive(String id, Listener listener) {
      int present = requests.getOrDefault(id, 0);
      if (present >= SLOTS + QUEUE) {
        refused++;
        listener.onHead(head(503));
        return;
      }
      requests.merge(id, 1, Integer::sum);
      long now = eventLoop.nanoTime() / 1_000_000;
      long millisPerSlot = WORK_MILLIS / SLOTS;
      long ends = Math.max(now + WORK_MILLIS, freeAtMillis.getOrDefault(id, 0L) + millisPerSlot);
      freeAtMillis.put(id, ends);
      eventLoop.schedule(ends - now, () -> end(id, listener));
    }

    private void end(String id, Listener listener) {
      requests.merge(id, -1, Integer::sum);
      listener.onHead(head(200));
      listener.onComplete();
    }

    private ResponseHead head(int status) {
      boolean success = status == 200;
      ResponseTraits traits = new ResponseTraits("r", !success, success ? "s" : null, false);
      return new ResponseHead(status, new DefaultHttpHeaders(), traits);
    }
  }

  private static EngineRecord engine(int number, boolean draining) {
    return new EngineRecord("e" + number, "s", "10.0.0.1", 80, "z", SLOTS, draining);
  }

  private CallCoordinator node(int number) {
    StoreHealth storeHealth = new StoreHealth();
    storeHealth.answered(eventLoop.nanoTime());
    EngineDirectory directory = new EngineDirectory(1);
    directories.add(directory);
    for (int i = 0; i < ENGINES; i++) {
      directory.put(engine(i, false));
    }
    for (int i = 0; i < 200; i++) {
      directory.performanceOf("s").observeNonStream(WORK_MILLIS);
    }
    GatewayState state = new GatewayState(eventLoop, storeHealth, directory, (event, fields) -> {});
    state.adoptIfNewer(
        new GatewayConfiguration(
            1, List.of(route()), List.of(new ServiceProfile("s", 100, 1)), RequestLimits.DEFAULT));
    return new CallCoordinator(
        new TestingContext(eventLoop, state, directory, store, storeHealth, engines)
            .random(new SplittableRandom(number))
            .admission(
                new ProgramAdmission(
                    directory, random, AdmissionShares.EVEN, (event, fields) -> {}))
            .budgets(new ProgramBudgets(store, eventLoop, new GrantIds(number), GrantSource.NONE))
            .build());
  }

  private static Route route() {
    return new Route(
        "/t/",
        "h",
        "/t/",
        RouteKind.UNSAFE,
        TIMEOUT_MILLIS,
        200,
        300,
        1,
        List.of(new Backend("s", 1)),
        1,
        false,
        60_000,
        true,
        false,
        false,
        Residency.ANY);
  }

  private TestingResponder call(int number) {
    CallAttributes attributes =
        new CallAttributes(
            "r" + number,
            TIMEOUT_MILLIS,
            500 + random.nextInt(2_500),
            "p" + number,
            null,
            -1,
            0,
            List.of(),
            null,
            -1,
            null,
            null);
    CallRequest request =
        new CallRequest(
            "POST",
            "/t/x",
            "h",
            new DefaultHttpHeaders(),
            new byte[0],
            attributes,
            eventLoop.nanoTime());
    TestingResponder responder = new TestingResponder();
    nodes.get(random.nextInt(NODES)).accept(request, responder);
    return responder;
  }

  private void setDraining(boolean draining) {
    for (EngineDirectory directory : directories) {
      for (int i = 0; i < ENGINES / 3; i++) {
        directory.put(engine(i, draining));
      }
    }
  }

  @Test
  void noCallThatMayRunOnlyOnceIsLostWhileSlotsBecomeFreeInTime() {
    for (int i = 0; i < NODES; i++) {
      nodes.add(node(i));
    }
    List<TestingResponder> callers = new ArrayList<>();
    double dueCalls = 0;
    for (int millis = 0; millis < 16_000; millis++) {
      boolean burst = millis >= 2_000 && millis < 10_000;
      for (dueCalls += CAPACITY_PER_MILLI * (burst ? 1.05 : 0.35); dueCalls >= 1; dueCalls--) {
        callers.add(call(callers.size()));
      }
      if (millis == 5_000 || millis == 7_000) {
        setDraining(millis == 5_000);
      }
      eventLoop.advance(1);
    }
    eventLoop.advance(TIMEOUT_MILLIS);
    long lost = callers.stream().filter(caller -> caller.refusal() != null).count();
    assertEquals(0, lost, "of " + callers.size());
    assertTrue(
        engines.refused < callers.size() * MAX_SENDS_PER_ROUND, engines.refused + " refusals");
  }
}
