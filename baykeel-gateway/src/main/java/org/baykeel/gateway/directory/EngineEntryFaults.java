package org.baykeel.gateway.directory;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/** The unusable entries of engines. Detects which faults are new, so that each is logged once. */
public final class EngineEntryFaults {
  /** More entries than are faulty at the same time; faults of further entries are not logged. */
  private static final int MAX_FAULTS = 1_024;

  private final Map<EngineId, EngineEntryFault> faultByEngine = new HashMap<>();

  /**
   * Adds a fault.
   *
   * @return whether it is to be logged: it differs from the known fault of the entry, and the limit
   *     is not reached
   */
  public boolean note(EngineEntryFault fault) {
    if (!faultByEngine.containsKey(fault.engine()) && faultByEngine.size() >= MAX_FAULTS) {
      return false;
    }
    return !fault.equals(faultByEngine.put(fault.engine(), fault));
  }

  /** Removes the fault of an engine whose entry is usable again or gone. */
  public void clear(EngineId engine) {
    faultByEngine.remove(engine);
  }

  /** Removes the faults of all engines except the given ones. */
  public void retain(Collection<EngineId> engines) {
    faultByEngine.keySet().retainAll(engines);
  }

  /** Returns the number of unusable entries. */
  public int size() {
    return faultByEngine.size();
  }
}
