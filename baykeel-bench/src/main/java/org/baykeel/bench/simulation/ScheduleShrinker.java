package org.baykeel.bench.simulation;

import java.util.function.Predicate;

/** Takes faults out of a failing schedule for as long as it still fails. */
public final class ScheduleShrinker {
  private ScheduleShrinker() {}

  /** The smallest schedule found that still fails. */
  public static FaultSchedule shrink(FaultSchedule failing, Predicate<FaultSchedule> fails) {
    FaultSchedule smallest = failing;
    boolean shrunk = true;
    while (shrunk) {
      shrunk = false;
      for (int i = 0; i < smallest.faults().size() && !shrunk; i++) {
        FaultSchedule candidate = smallest.without(i);
        if (fails.test(candidate)) {
          smallest = candidate;
          shrunk = true;
        }
      }
    }
    return smallest;
  }
}
