package org.baykeel.gateway.directory;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class TestEngineDirectory {
  private static final long MAX_LAPSE_NANOS = 1_900_000_000L;
  private static final long NO_OUTAGE = 0;
  private static final long OUTAGE_JUST_OVER = 2_200_000_000L;
  private static final long OUTAGE_NEARLY_EXPIRED = 300_000_000L;

  private final EngineDirectory directory = new EngineDirectory(MAX_LAPSE_NANOS);

  private static EngineRecord engine(String id, boolean draining) {
    return new EngineRecord(id, "s", "10.0.0.1", 80, "z", 4, draining);
  }

  @Test
  void anEngineThatVanishesWithoutAnOutageIsRemovedAtOnce() {
    directory.put(engine("a", false));
    directory.remove("a", NO_OUTAGE, 0);
    assertEquals(0, directory.ofService("s").size());
  }

  @Test
  void anEngineThatVanishesAroundAnOutageStaysForTheGracePeriod() {
    directory.put(engine("a", false));
    directory.replaceAll(List.of(), OUTAGE_JUST_OVER, 0);
    directory.expireLapsed(MAX_LAPSE_NANOS - 1);
    assertEquals(1, directory.ofService("s").size());
    directory.expireLapsed(MAX_LAPSE_NANOS);
    assertEquals(0, directory.ofService("s").size());
  }

  @Test
  void anEngineThatVanishesLongAfterAnOutageStaysOnlyUntilLapsedEntriesAreBack() {
    directory.put(engine("a", false));
    directory.remove("a", OUTAGE_NEARLY_EXPIRED, 0);
    directory.expireLapsed(OUTAGE_NEARLY_EXPIRED);
    assertEquals(0, directory.ofService("s").size());
  }

  @Test
  void aLapsedEngineThatReturnsStays() {
    directory.put(engine("a", false));
    directory.remove("a", OUTAGE_JUST_OVER, 0);
    directory.put(engine("a", false));
    directory.expireLapsed(MAX_LAPSE_NANOS);
    assertEquals(1, directory.ofService("s").size());
  }

  @Test
  void aDrainingEngineThatVanishesIsRemovedEvenAroundAnOutage() {
    directory.put(engine("a", true));
    directory.remove("a", OUTAGE_JUST_OVER, 0);
    assertEquals(0, directory.ofService("s").size());
  }
}
