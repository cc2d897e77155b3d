package org.baykeel.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.stream.LongStream;
import org.baykeel.bench.simulation.FaultSchedule;
import org.baykeel.bench.simulation.ScheduleShrinker;
import org.baykeel.bench.simulation.Simulation;
import org.kohsuke.args4j.Option;

/** Runs seeded schedules of faults in virtual time and checks every guarantee. */
final class SimulateCommand implements Command {
  @Option(name = "--nodes", usage = "number of nodes")
  private int nodes = 5;

  @Option(name = "--engines", usage = "number of engines")
  private int engines = 4;

  @Option(name = "--from", usage = "first seed")
  private long firstSeed = 1;

  @Option(name = "--count", usage = "number of seeds")
  private int seedCount = 100;

  @Option(name = "--shrink", usage = "number of failing schedules to shrink")
  private int shrinkLimit = 1;

  @Option(
      name = "--schedule",
      metaVar = "FILE",
      usage = "run the schedule in this file and print its log")
  private Path scheduleFile;

  @Override
  public int run() throws IOException {
    if (scheduleFile != null) {
      return runSchedule(FaultSchedule.parse(Files.readString(scheduleFile).strip()));
    }
    LongAdder steps = new LongAdder();
    Map<Long, String> failures = new ConcurrentSkipListMap<>();
    LongStream.range(firstSeed, firstSeed + seedCount)
        .parallel()
        .forEach(
            seed -> {
              FaultSchedule schedule = FaultSchedule.random(seed, nodes, engines);
              Simulation.Result result = simulate(schedule, false);
              steps.add(result.steps());
              if (!result.violations().isEmpty()) {
                failures.put(seed, result.violations().toString());
              }
            });
    new TreeMap<>(failures)
        .forEach((seed, text) -> System.out.println("seed " + seed + ": " + text));
    failures.keySet().stream().limit(shrinkLimit).forEach(this::printShrunk);
    System.out.printf(
        "simulate: nodes=%d schedules=%d steps=%d failing=%d%n",
        nodes, seedCount, steps.sum(), failures.size());
    return failures.isEmpty() ? ExitCode.OK : ExitCode.FAILED;
  }

  private Simulation.Result simulate(FaultSchedule schedule, boolean keepLog) {
    return new Simulation(nodes, engines, schedule, keepLog).run();
  }

  private int runSchedule(FaultSchedule schedule) {
    Simulation.Result result = simulate(schedule, true);
    result.log().forEach(System.out::println);
    result.violations().forEach(System.out::println);
    return result.violations().isEmpty() ? ExitCode.OK : ExitCode.FAILED;
  }

  private void printShrunk(long seed) {
    FaultSchedule failing = FaultSchedule.random(seed, nodes, engines);
    FaultSchedule smallest =
        ScheduleShrinker.shrink(
            failing, candidate -> !simulate(candidate, false).violations().isEmpty());
    System.out.println("shrunk " + smallest.json());
    System.out.println("       " + simulate(smallest, false).violations());
  }
}
