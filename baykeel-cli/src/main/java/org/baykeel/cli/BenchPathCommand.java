package org.baykeel.cli;

import java.io.IOException;
import org.baykeel.bench.measure.PathCost;
import org.baykeel.bench.measure.ProgramMemory;

/** Measures the latency that a node adds to a call, its throughput, and its memory per program. */
final class BenchPathCommand implements Command {
  @Override
  public int run() throws IOException, InterruptedException {
    new PathCost(DemoCommand.launcher(), System.out).run();
    new ProgramMemory(System.out).run();
    return ExitCode.OK;
  }
}
