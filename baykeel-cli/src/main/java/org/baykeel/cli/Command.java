package org.baykeel.cli;

import java.io.IOException;

/** A subcommand of {@code bin/baykeel}. */
interface Command {
  /**
   * Runs the subcommand.
   *
   * @return the exit code of the process, see {@link ExitCode}
   */
  int run() throws IOException, InterruptedException;
}
