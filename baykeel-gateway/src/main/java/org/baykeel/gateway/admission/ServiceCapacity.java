package org.baykeel.gateway.admission;

import java.util.List;
import org.baykeel.gateway.directory.Engine;
import org.baykeel.gateway.directory.EngineHealth;
import org.baykeel.gateway.directory.LoadEstimate;

/**
 * The load of a service compared with its capacity, over those of its engines that take work.
 *
 * @param known whether the load is known for at least half of their slots
 * @param requestsPerSlot requests that engines have accepted, per slot; above 1 while some wait
 * @param memoryShare the part of their memory that is in use
 * @param waitingPerSlot requests that wait for a slot, per slot
 * @param ageMillis the mean age of the reports that count; -1 if there are none
 */
record ServiceCapacity(
    boolean known,
    double requestsPerSlot,
    double memoryShare,
    double waitingPerSlot,
    long ageMillis) {
  static final ServiceCapacity UNKNOWN = new ServiceCapacity(false, 0, 0, 0, -1);

  /**
   * An older report does not show whether slots are free: programs that started since then may have
   * taken them.
   */
  private static final long RECENT_MILLIS = 1_000;

  private static final double MIN_KNOWN_PART = 0.5;

  static ServiceCapacity of(List<Engine> engines, long nowNanos) {
    int totalSlots = 0;
    int knownSlots = 0;
    int requests = 0;
    int waiting = 0;
    double usedMemory = 0;
    double sumAgeNanos = 0;
    for (Engine engine : engines) {
      if (!takesWork(engine, nowNanos)) {
        continue;
      }
      int slots = Math.max(1, engine.record().slots());
      totalSlots += slots;
      LoadEstimate load = engine.load();
      if (load.known(nowNanos)) {
        knownSlots += slots;
        requests += load.requests(nowNanos);
        waiting += load.waiting(slots, nowNanos);
        usedMemory += slots * load.memoryShare(nowNanos);
        sumAgeNanos += (double) slots * load.ageNanos(nowNanos);
      }
    }
    if (knownSlots == 0 || knownSlots < totalSlots * MIN_KNOWN_PART) {
      return UNKNOWN;
    }
    return new ServiceCapacity(
        true,
        (double) requests / knownSlots,
        usedMemory / knownSlots,
        (double) waiting / knownSlots,
        Math.round(sumAgeNanos / knownSlots / 1e6));
  }

  /** Whether the reports are recent enough to judge whether slots are free. */
  boolean recent() {
    return known && ageMillis < RECENT_MILLIS;
  }

  /** The requests per slot, or the part of the memory in use if that is larger. */
  double occupancy() {
    return Math.max(requestsPerSlot, memoryShare);
  }

  /**
   * Returns the load of the service with more requests.
   *
   * @param growth additional requests per slot, at least 0
   */
  ServiceCapacity withGrowth(double growth) {
    double grown = requestsPerSlot + growth;
    double waiting = Math.max(waitingPerSlot + growth - Math.max(0, 1 - requestsPerSlot), 0);
    return new ServiceCapacity(
        known, grown, memoryShare, Math.max(waitingPerSlot, waiting), ageMillis);
  }

  private static boolean takesWork(Engine engine, long nowNanos) {
    EngineHealth health = engine.health(nowNanos);
    return !engine.record().draining()
        && !engine.removed()
        && health != EngineHealth.SUSPECT
        && health != EngineHealth.AVOIDED;
  }
}
