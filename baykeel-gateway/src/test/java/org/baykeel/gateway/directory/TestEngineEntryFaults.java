package org.baykeel.gateway.directory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.baykeel.gateway.directory.EngineEntryFault.Reason;
import org.junit.jupiter.api.Test;

class TestEngineEntryFaults {
  private final EngineEntryFaults faults = new EngineEntryFaults();

  private boolean note(String id, String field) {
    return faults.note(new EngineEntryFault(new EngineId(id), field, Reason.MISSING));
  }

  @Test
  void aFaultIsNewOnceUntilItChanges() {
    assertTrue(note("e", "zone"));
    assertFalse(note("e", "zone"));
    assertTrue(note("e", "slots"));
    faults.clear(new EngineId("e"));
    assertTrue(note("e", "slots"));
    faults.retain(List.of());
    assertTrue(note("e", "slots"));
  }

  @Test
  void theNumberOfFaultsIsLimited() {
    for (int i = 0; i < 100_000; i++) {
      note("e" + i, "zone");
    }
    assertEquals(1_024, faults.size());
    assertFalse(note("one more", "zone"));
    assertTrue(note("e0", "slots"));
  }
}
