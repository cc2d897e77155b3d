package org.baykeel.bench.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** All promises under seeded schedules of faults. */
class TestSimulation {
  private static final int NODES = 5;
  private static final int ENGINES = 4;
  private static final int SCHEDULES = Integer.getInteger("baykeel.schedules", 1_000);
  private static final long LEAST_STEPS = 500;

  @Test
  void keepsAllPromisesWithoutFaults() {
    Simulation.Result result = new Simulation(NODES, ENGINES, FaultSchedule.calm(1), false).run();
    assertEquals(List.of(), result.violations());
  }

  @Test
  void repeatsARunExactly() {
    FaultSchedule schedule = FaultSchedule.random(7, NODES, ENGINES);
    Simulation.Result first = new Simulation(NODES, ENGINES, schedule, true).run();
    Simulation.Result second = new Simulation(NODES, ENGINES, schedule, true).run();
    assertEquals(first.log(), second.log());
    assertEquals(first.steps(), second.steps());
  }

  @Test
  void keepsAllPromisesUnderRandomSchedules() {
    Queue<String> failures = new ConcurrentLinkedQueue<>();
    LongStream.rangeClosed(1, SCHEDULES)
        .parallel()
        .forEach(
            seed -> {
              FaultSchedule schedule = FaultSchedule.random(seed, NODES, ENGINES);
              Simulation.Result result = new Simulation(NODES, ENGINES, schedule, false).run();
              assertTrue(result.steps() >= LEAST_STEPS, "steps");
              if (!result.violations().isEmpty()) {
                failures.add(schedule.json() + " " + result.violations());
              }
            });
    assertEquals(0, failures.size(), () -> String.join("\n", failures));
  }
}
