package org.baykeel.gateway.load;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.baykeel.gateway.directory.Engine;
import org.baykeel.gateway.directory.EngineLoad;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against herding: all nodes send to the engine that looks empty until its next report. 31
 * engines are half full; one of them looks empty to all 77 nodes and continues to do so, since its
 * reports lag.
 */
class TestHerdingPrevention {
  private static final int NODES = 77;
  private static final int ENGINES = 31;
  private static final int HALF = SimulatedRegion.SLOTS / 2;
  private static final String EMPTY = "e0";

  private final SimulatedRegion region =
      new SimulatedRegion(NODES, ENGINES, new EngineLoad(0, HALF, 0, 0));
  private final Random random = new Random(36);

  @BeforeEach
  void oneEngineLooksEmpty() {
    region.reports.set(EMPTY, new EngineLoad(0, 0, 0, 0));
    region.eventLoop.advance(1_500);
  }

  private int requestsOf(Engine engine) {
    return engine.load().requests(region.eventLoop.nanoTime());
  }

  /** Sends a request and returns whether it went to the engine that looks empty. */
  private boolean sentToEmpty(Engine engine) {
    engine.requestStarted(region.eventLoop.nanoTime());
    return engine.record().id().equals(EMPTY);
  }

  private Engine leastLoaded(SimulatedRegion.Node node) {
    Engine least = node.engine(EMPTY);
    for (int i = 1; i < ENGINES; i++) {
      Engine candidate = node.engine("e" + i);
      least = requestsOf(candidate) < requestsOf(least) ? candidate : least;
    }
    return least;
  }

  private Engine lessLoadedOfTwo(SimulatedRegion.Node node) {
    Engine one = node.engine("e" + random.nextInt(ENGINES));
    Engine other = node.engine("e" + random.nextInt(ENGINES));
    return requestsOf(one) <= requestsOf(other) ? one : other;
  }

  /**
   * A node with a burst of requests fills the engine up to the level of the others, and no further.
   */
  @Test
  void aBurstAtOneNodeIsNotSentOnlyToTheEngineThatLooksEmpty() {
    SimulatedRegion.Node node = region.nodes.get(5);
    int requests = 60;
    int level = (int) Math.ceil((double) (HALF * (ENGINES - 1) + requests) / ENGINES);
    int sent = 0;
    for (int request = 0; request < requests; request++) {
      region.eventLoop.advance(5);
      sent += sentToEmpty(leastLoaded(node)) ? 1 : 0;
    }
    assertTrue(sent > 0 && sent <= level, "sent " + sent);
  }

  /** Beyond twice its slots, a request would wait at the engine for longer than it runs. */
  @Test
  void allNodesTogetherDoNotOverfillAnEngineThatLooksEmptyUntilItsReportsArrive() {
    int sent = 0;
    for (int millis = 0; millis < 300; millis += 5) {
      region.eventLoop.advance(5);
      for (int request = 0; request < 6; request++) {
        SimulatedRegion.Node node = region.nodes.get(random.nextInt(NODES));
        sent += sentToEmpty(lessLoadedOfTwo(node)) ? 1 : 0;
      }
    }
    assertTrue(sent > 0 && sent <= 2 * SimulatedRegion.SLOTS, "sent " + sent);
  }
}
