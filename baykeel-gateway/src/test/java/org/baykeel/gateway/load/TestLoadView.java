package org.baykeel.gateway.load;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.baykeel.gateway.directory.EngineDirectory;
import org.baykeel.gateway.directory.EngineId;
import org.baykeel.gateway.peer.PeerAddress;
import org.baykeel.gateway.peer.PeerMessage;
import org.baykeel.gateway.peer.RendezvousOrder;
import org.baykeel.gateway.testing.TestingEventLoop;
import org.junit.jupiter.api.Test;

class TestLoadView {
  private static final PeerAddress SELF = new PeerAddress("10.0.0.1", 1);
  private static final PeerAddress PEER = new PeerAddress("10.0.0.2", 1);
  private static final EngineId ENGINE = new EngineId("e0");
  private static final long TICK_NANOS = 50_000_000;

  private final TestingEventLoop eventLoop = new TestingEventLoop();
  private final EngineDirectory engines = new EngineDirectory(1);
  private final EventLoopLag lag = new EventLoopLag(TICK_NANOS, eventLoop.nanoTime());

  private long ageMillisOfNotice(long noticeAgeMillis, long roundTripMillis) {
    engines.put(SimulatedRegion.record(ENGINE.value()));
    LoadView loadView =
        new LoadView(
            engines,
            new RendezvousOrder(SELF, () -> List.of(PEER)),
            peer -> roundTripMillis,
            eventLoop,
            lag);
    loadView.onMessage(
        PEER,
        new PeerMessage.EngineLoadNotice(
            List.of(
                new PeerMessage.ReportedLoad(
                    ENGINE, noticeAgeMillis, 0, SimulatedRegion.UNLOADED))));
    return engines.find(ENGINE).load().ageNanos(eventLoop.nanoTime()) / 1_000_000;
  }

  @Test
  void theRoundTripAddsToTheAgeOfANotice() {
    assertEquals(140, ageMillisOfNotice(100, 40));
  }

  @Test
  void aNoticeReceivedDuringAStallIsAgedByTheLag() {
    eventLoop.advance(1_050);
    assertEquals(1_100, ageMillisOfNotice(100, 0));
  }

  @Test
  void aNoticeReadAfterTheFirstLateTickIsAgedByTheLag() {
    eventLoop.advance(1_050);
    lag.tick(eventLoop.nanoTime());
    eventLoop.advance(10);
    assertEquals(1_100, ageMillisOfNotice(100, 0));
  }
}
