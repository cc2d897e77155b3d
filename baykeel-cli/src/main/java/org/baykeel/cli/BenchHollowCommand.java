package org.baykeel.cli;

import org.baykeel.bench.hollow.HollowRun;
import org.kohsuke.args4j.Option;

/**
 * Runs a fleet of hollow nodes in one process and prints the measured figures of its control plane
 * next to their limits.
 */
final class BenchHollowCommand implements Command {
  @Option(name = "--nodes", usage = "number of nodes")
  private int nodes = 400;

  @Option(name = "--engines", usage = "number of engines")
  private int engines = 600;

  @Option(name = "--shards", usage = "number of shards")
  private int shards = 1_024;

  @Option(name = "--seed", usage = "seed of the random numbers")
  private long seed = 1;

  @Option(
      name = "--steady",
      usage = "stop after measuring the steady state, without injecting failures")
  private boolean steadyOnly;

  @Override
  public int run() {
    new HollowRun(nodes, engines, shards, seed, System.out).run(!steadyOnly);
    return ExitCode.OK;
  }
}
