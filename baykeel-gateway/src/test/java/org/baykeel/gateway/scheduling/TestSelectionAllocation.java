package org.baykeel.gateway.scheduling;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.baykeel.gateway.directory.Engine;
import org.baykeel.gateway.directory.EngineDirectory;
import org.baykeel.gateway.directory.EngineLoad;
import org.baykeel.gateway.directory.EngineRecord;
import org.baykeel.gateway.directory.PromptPart;
import org.baykeel.gateway.scheduling.EngineSelector.Criteria;
import org.baykeel.gateway.topology.RoundTrips;
import org.baykeel.gateway.topology.Topology;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against allocations per engine in a selection among 600 engines. */
class TestSelectionAllocation {
  private static final int ENGINES = 600;
  private static final int SELECTIONS = 2_000;
  private static final long BYTES_PER_SELECTION = ENGINES;

  private final EngineDirectory directory = new EngineDirectory(1);
  private final Topology topology = Topology.ofOneRegion("z0");
  private final EngineSelector selector =
      new EngineSelector(
          directory,
          topology,
          new RoundTrips(topology),
          List.of(new MemoryPolicy(), new SlowHomePolicy((event, fields) -> {})),
          new SplittableRandom(1));

  private void choose(Criteria criteria) {
    for (int i = 0; i < SELECTIONS; i++) {
      selector.choose(criteria, Set.of(), 200_000_000L);
    }
  }

  @ParameterizedTest(name = "load known: {0}")
  @ValueSource(booleans = {false, true})
  void aSelectionAmongSixHundredEnginesAllocatesNothingPerEngine(boolean known) {
    for (int i = 0; i < ENGINES; i++) {
      directory.put(new EngineRecord("e" + i, "s", "10.0.0.1", 80, "z" + i % 4, 8, false));
    }
    for (Engine engine : directory.ofService("s")) {
      if (known) {
        engine.load().reported(new EngineLoad(2, 8, 1_000, 90_000), 0);
      }
    }
    List<PromptPart> prompt = List.of(new PromptPart("shared", 4_000), new PromptPart("own", 800));
    Criteria criteria = new Criteria("s", prompt, "program", true);
    choose(criteria);
    choose(criteria);
    ThreadMXBean thread = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    long bytesBefore = thread.getCurrentThreadAllocatedBytes();
    long nanosBefore = System.nanoTime();
    choose(criteria);
    long nanos = (System.nanoTime() - nanosBefore) / SELECTIONS;
    long bytes = (thread.getCurrentThreadAllocatedBytes() - bytesBefore) / SELECTIONS;
    assertTrue(bytes <= BYTES_PER_SELECTION, bytes + " bytes, " + nanos + " ns per selection");
  }
}
