package org.baykeel.gateway.directory;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * The entries that name no engine to use. Tells which faults are new, so that each is told once.
 */
public final class EngineEntryFaults {
  /** More entries than are at fault at a time; faults beyond it are not told. */
  private static final int MAX_FAULTS = 1_024;

  private final Map<EngineId, EngineEntryFault> faultByEngine = new HashMap<>();

  /**
   * Notes a fault.
   *
   * @return whether it is to be told: it was not known like this, and there is room to note it
   */
  public boolean note(EngineEntryFault fault) {
    if (!faultByEngine.containsKey(fault.engine()) && faultByEngine.size() >= MAX_FAULTS) {
      return false;
    }
    return !fault.equals(faultByEngine.put(fault.engine(), fault));
  }

  /** An engine's entry is good, or gone. */
  public void clear(EngineId engine) {
    faultByEngine.remove(engine);
  }

  /** Forgets all entries but some. */
  public void retain(Collection<EngineId> engines) {
    faultByEngine.keySet().retainAll(engines);
  }

  /** How many entries name no engine to use. */
  public int size() {
    return faultByEngine.size();
  }
}
