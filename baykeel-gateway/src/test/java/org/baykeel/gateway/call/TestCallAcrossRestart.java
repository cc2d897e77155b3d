package org.baykeel.gateway.call;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.util.List;
import java.util.Random;
import org.baykeel.gateway.admission.OpeningShares;
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
import org.baykeel.gateway.directory.EngineId;
import org.baykeel.gateway.directory.EngineRecord;
import org.baykeel.gateway.directory.EngineStanding;
import org.baykeel.gateway.history.TurnHistory;
import org.baykeel.gateway.history.TurnSource;
import org.baykeel.gateway.ratelimit.RequestLimiter;
import org.baykeel.gateway.residency.Residency;
import org.baykeel.gateway.scheduling.BackendChooser;
import org.baykeel.gateway.scheduling.EngineSelector;
import org.baykeel.gateway.storage.StoreHealth;
import org.baykeel.gateway.telemetry.GatewayMetrics;
import org.baykeel.gateway.testing.TestingEventLoop;
import org.baykeel.gateway.testing.TestingResponder;
import org.baykeel.gateway.testing.TestingStore;
import org.baykeel.gateway.testing.TestingTenancy;
import org.baykeel.gateway.testing.TestingTransport;
import org.baykeel.gateway.urgency.Urgency;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** A request is under way at the only engine of its service when that starts again. */
class TestCallAcrossRestart {
  private static final EngineId ID = new EngineId("e");

  private final TestingEventLoop eventLoop = new TestingEventLoop();
  private final TestingStore store = new TestingStore(eventLoop);
  private final TestingTransport transport = new TestingTransport();
  private final TestingResponder responder = new TestingResponder();
  private final StoreHealth storeHealth = new StoreHealth();
  private final EngineDirectory engines = new EngineDirectory(1);
  private final GatewayState state =
      new GatewayState(eventLoop, storeHealth, engines, (event, fields) -> {});
  private CallCoordinator coordinator;

  @BeforeEach
  void startNode() {
    storeHealth.answered(eventLoop.nanoTime());
    engines.put(bornAt(1_000));
    coordinator =
        new CallCoordinator(
            new GatewayContext(
                eventLoop,
                state,
                TestingTenancy.withoutKeys(eventLoop),
                RequestLimiter.NONE,
                new EngineSelector(engines, "z", new Random(1)),
                new BackendChooser(),
                new ProgramAdmission(
                    engines, new Random(1), OpeningShares.EVEN, (event, fields) -> {}),
                new ProgramBudgets(store, eventLoop, new GrantIds(1), GrantSource.NONE),
                new TurnHistory(store, eventLoop, 1 << 20, TurnSource.NONE),
                Urgency.NONE,
                transport,
                storeHealth,
                (event, fields) -> {},
                new GatewayMetrics()));
    List<Backend> backends = List.of(new Backend("s", 1));
    Route route =
        new Route(
            "r",
            "h",
            "/",
            RouteKind.UNSAFE,
            3_000,
            200,
            300,
            1,
            backends,
            3,
            false,
            0,
            false,
            false,
            false,
            Residency.ANY);
    state.offer(
        new GatewayConfiguration(
            1, List.of(route), List.of(new ServiceProfile("s", 100, 1)), RequestLimits.DEFAULT));
  }

  private static EngineRecord bornAt(long millis) {
    return new EngineRecord("e", "s", "10.0.0.1", 80, "z", 8, false, 0, millis);
  }

  private enum End {
    BROKEN {
      @Override
      void of(TestingTransport.Sent sent) {
        sent.breakOff();
      }
    },
    WITHIN_ITS_ANSWER {
      @Override
      void of(TestingTransport.Sent sent) {
        sent.head(200, true, false, false).bytes("x").breakOff();
      }
    },
    WHOLE {
      @Override
      void of(TestingTransport.Sent sent) {
        sent.head(200, true, false, false).bytes("x").complete();
      }
    };

    abstract void of(TestingTransport.Sent sent);
  }

  @ParameterizedTest
  @EnumSource(End.class)
  void whatMayRunOnlyOnceStaysWithTheLifeThatItWasSentTo(End end) {
    CallAttributes attributes =
        new CallAttributes("i", 3_000, -1, null, null, -1, 500, List.of(), null, -1, null, null);
    coordinator.accept(
        new CallRequest(
            "POST",
            "/x",
            "h",
            new DefaultHttpHeaders(),
            new byte[1],
            attributes,
            eventLoop.nanoTime()),
        responder);
    Engine former = engines.find(ID);
    engines.put(bornAt(2_000), eventLoop.nanoTime());
    Engine present = engines.find(ID);
    end.of(transport.last());
    eventLoop.advance(4_000);
    assertEquals(1, transport.count());
    assertEquals(1, responder.heard().size());
    assertTrue(former.removed());
    assertEquals(0, former.inFlight());
    assertEquals(0, present.inFlight());
    assertEquals(EngineStanding.TRUSTED, present.standing(eventLoop.nanoTime()));
  }
}
