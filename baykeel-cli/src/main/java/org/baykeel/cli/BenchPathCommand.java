package org.baykeel.cli;

import java.io.IOException;
import org.baykeel.bench.measure.PathCost;
import org.baykeel.bench.measure.ProgramMemory;

/** Measures what the path through the nodes costs. */
final class BenchPathCommand implements Command {
  @Override
  public int run() throws IOException, InterruptedException {
    new PathCost(DemoCommand.launcher(), System.out).run();
    new ProgramMemory(System.out).run();
    return ExitCode.OK;
  }
}
