package org.baykeel.cli;

import java.io.IOException;

/** One subcommand. */
interface Command {
  /**
   * Runs the subcommand.
   *
   * @return the process's exit code
   */
  int run() throws IOException, InterruptedException;
}
