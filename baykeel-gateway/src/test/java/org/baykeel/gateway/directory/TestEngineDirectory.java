package org.baykeel.gateway.directory;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class TestEngineDirectory {
  private static final long GRACE_NANOS = 1_500_000_000L;

  private final EngineDirectory directory = new EngineDirectory(GRACE_NANOS);

  private static EngineRecord engine(String id, boolean draining) {
    return new EngineRecord(id, "s", "10.0.0.1", 80, "z", 4, draining);
  }

  @Test
  void anEngineThatVanishesInCalmTimesIsGoneAtOnce() {
    directory.put(engine("a", false));
    directory.remove("a", false, 0);
    assertEquals(0, directory.ofService("s").size());
  }

  @Test
  void anEngineThatVanishesAroundAnOutageStaysForTheGracePeriod() {
    directory.put(engine("a", false));
    directory.replaceAll(List.of(), true, 0);
    assertEquals(1, directory.ofService("s").size());
    directory.expireLapsed(GRACE_NANOS);
    assertEquals(0, directory.ofService("s").size());
  }

  @Test
  void aLapsedEngineThatReturnsStays() {
    directory.put(engine("a", false));
    directory.remove("a", true, 0);
    directory.put(engine("a", false));
    directory.expireLapsed(GRACE_NANOS);
    assertEquals(1, directory.ofService("s").size());
  }

  @Test
  void aDrainingEngineThatVanishesIsGoneEvenAroundAnOutage() {
    directory.put(engine("a", true));
    directory.remove("a", true, 0);
    assertEquals(0, directory.ofService("s").size());
  }
}
